//! Compatibility of the engine stand-in with the `async-openai` client.

use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{ChatCompletionRequestUserMessage, CreateChatCompletionRequest};
use clementinepond_standin::engine::{
    EngineOptions, EngineServer, StartModel, expected_text, expected_tokens,
};
use clementinepond_types::MemorySize;
use futures_util::StreamExt;
use tokio_util::sync::CancellationToken;

#[tokio::test]
async fn client_library_reads_complete_and_streamed_chats() {
    let cancel = CancellationToken::new();
    let _guard = cancel.clone().drop_guard();
    let options = EngineOptions {
        models: vec![StartModel {
            model: "m".parse().unwrap(),
            version: "v1".into(),
            memory_mib: MemorySize::new(1),
        }],
        ..EngineOptions::default()
    };
    let engine = EngineServer::start(options, cancel).await.unwrap();
    let config = OpenAIConfig::new()
        .with_api_base(format!("http://{}/v1", engine.address()))
        .with_api_key("key");
    let client = Client::with_config(config);
    let request = CreateChatCompletionRequest {
        model: "m".into(),
        messages: vec![ChatCompletionRequestUserMessage::from("hello").into()],
        ..CreateChatCompletionRequest::default()
    };
    let answer = client.chat().create(request.clone()).await.unwrap();
    let prompt = "user\nhello\n";
    let text = expected_text("m", "v1", prompt, 16);
    assert_eq!(answer.choices[0].message.content, Some(text));
    assert_eq!(answer.usage.unwrap().completion_tokens, 16);
    let mut stream = client.chat().create_stream(request).await.unwrap();
    let mut tokens = Vec::new();
    while let Some(chunk) = stream.next().await {
        tokens.push(chunk.unwrap().choices[0].delta.content.clone().unwrap());
    }
    assert_eq!(tokens, expected_tokens("m", "v1", prompt, 16));
}
