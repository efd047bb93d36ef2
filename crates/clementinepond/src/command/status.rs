//! `status`: shows a VM's status and its view of the fleet.

use super::CommandError;
use bytes::Bytes;
use gumdrop::Options;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use std::process::ExitCode;
use std::time::Duration;
use tabled::builder::Builder;
use tabled::settings::Style;

/// Timeout of the request to the administration API.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Show a VM's status and its view of the fleet.
#[derive(Debug, Options)]
pub(crate) struct StatusOptions {
    /// Whether to print help.
    #[options(help = "print help")]
    pub(crate) help: bool,
    /// URL of the administration API of the VM.
    #[options(
        required,
        meta = "URL",
        help = "administration API of the VM, as http://IP:PORT"
    )]
    pub(crate) admin: String,
    /// Whether to print the status as JSON.
    #[options(no_short, help = "print the status as JSON")]
    pub(crate) json: bool,
}

/// Prints the status, read with the credential in the environment variable
/// `CLEMENTINEPOND_CREDENTIAL`.
pub(crate) fn run(options: &StatusOptions) -> Result<ExitCode, CommandError> {
    let credential = std::env::var("CLEMENTINEPOND_CREDENTIAL").map_err(|_| {
        CommandError::usage(
            "CLEMENTINEPOND_CREDENTIAL is not set; set it to the operator credential",
        )
    })?;
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    let status = runtime.block_on(fetch(&options.admin, &credential))?;
    if options.json {
        println!("{status}");
    } else {
        print!("{}", table(&status));
    }
    Ok(ExitCode::SUCCESS)
}

async fn fetch(admin: &str, credential: &str) -> Result<Value, CommandError> {
    let uri = format!("{}/v1/status", admin.trim_end_matches('/'));
    let request = Request::builder()
        .uri(&uri)
        .header("authorization", format!("Bearer {credential}"))
        .body(Full::new(Bytes::new()))
        .map_err(|error| {
            CommandError::usage(&format!("{uri}: {error}; write --admin as http://IP:PORT"))
        })?;
    let client = Client::builder(TokioExecutor::new()).build_http();
    let call = async {
        let response = client
            .request(request)
            .await
            .map_err(|error| error.to_string())?;
        let status = response.status();
        let body = response.into_body().collect().await;
        let body = body.map_err(|error| error.to_string())?.to_bytes();
        if !status.is_success() {
            return Err(format!("{status} {}", String::from_utf8_lossy(&body)));
        }
        serde_json::from_slice(&body).map_err(|error| error.to_string())
    };
    match tokio::time::timeout(ANSWER_TIMEOUT, call).await {
        Ok(Ok(value)) => Ok(value),
        Ok(Err(problem)) => Err(CommandError::failed(&format!(
            "{uri}: {problem}; check the address and the credential"
        ))),
        Err(_) => Err(CommandError::failed(&format!(
            "{uri}: no answer within 5 s; check that the VM is running"
        ))),
    }
}

/// Returns one table of the scalar values and one table for each list of objects.
///
/// The first object of a list determines the columns of its table.
fn table(status: &Value) -> String {
    let mut plain = Builder::default();
    let mut lists = String::new();
    flatten("", status, &mut plain, &mut lists);
    format!("{}\n{lists}", plain.build().with(Style::psql()))
}

fn flatten(path: &str, value: &Value, plain: &mut Builder, lists: &mut String) {
    match value {
        Value::Object(members) => {
            for (name, member) in members {
                let path = [path, name].join(if path.is_empty() { "" } else { "." });
                flatten(&path, member, plain, lists);
            }
        }
        Value::Array(rows) if rows.iter().any(Value::is_object) => {
            lists.push_str(&list(path, rows));
        }
        other => plain.push_record([path.to_owned(), text(other)]),
    }
}

fn list(path: &str, rows: &[Value]) -> String {
    let mut builder = Builder::default();
    let columns: Vec<&String> = rows
        .first()
        .and_then(Value::as_object)
        .map(|row| row.keys().collect())
        .unwrap_or_default();
    builder.push_record(columns.iter().map(|name| (*name).clone()));
    for row in rows {
        builder.push_record(columns.iter().map(|name| text(&row[name.as_str()])));
    }
    format!("\n{path}\n{}\n", builder.build().with(Style::psql()))
}

fn text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Array(values) => values.iter().map(text).collect::<Vec<_>>().join(" "),
        other => other.to_string(),
    }
}
