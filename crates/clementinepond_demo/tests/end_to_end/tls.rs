//! Callers over TLS.

use crate::support::{KEY, MODEL, plan};
use clementinepond_demo::RunningFleet;
use serde_json::json;

#[tokio::test(flavor = "multi_thread")]
async fn callers_use_tls_when_a_certificate_is_set() {
    let certified = rcgen::generate_simple_self_signed(vec!["localhost".to_owned()]).unwrap();
    let folder = std::env::temp_dir().join(format!("clementinepond-tls-{}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let certificate = folder.join("certificate.pem");
    let private_key = folder.join("private_key.pem");
    std::fs::write(&certificate, certified.cert.pem()).unwrap();
    std::fs::write(&private_key, certified.signing_key.serialize_pem()).unwrap();
    let mut plan = plan();
    plan.settings = Some(json!({
        "caller": {"tls": {"certificate": certificate, "private_key": private_key}}
    }));
    let fleet = RunningFleet::start(plan).await.unwrap();
    let address = fleet.vms[0].caller;
    let trusted = reqwest::Certificate::from_pem(certified.cert.pem().as_bytes()).unwrap();
    let client = reqwest::Client::builder()
        .tls_certs_only([trusted])
        .resolve("localhost", address)
        .build()
        .unwrap();
    let body = json!({"model": MODEL, "prompt": "x", "max_tokens": 4}).to_string();
    let answer = client
        .post(format!(
            "https://localhost:{}/v1/completions",
            address.port()
        ))
        .bearer_auth(KEY)
        .body(body)
        .send()
        .await
        .unwrap();
    assert_eq!(answer.status().as_u16(), 200);
    fleet.stop().await;
    std::fs::remove_dir_all(&folder).unwrap();
}
