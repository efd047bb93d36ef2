//! A conversation through an existing client library.

use crate::support::{KEY, MODEL, plan};
use async_openai::Client;
use async_openai::config::OpenAIConfig;
use async_openai::types::chat::{ChatCompletionRequestUserMessage, CreateChatCompletionRequest};
use clementinepond_demo::RunningFleet;
use clementinepond_standin::engine::expected_text;
use futures_util::StreamExt;

#[tokio::test(flavor = "multi_thread")]
async fn a_client_library_holds_a_streaming_conversation() {
    let fleet = RunningFleet::start(plan()).await.unwrap();
    let config = OpenAIConfig::new()
        .with_api_key(KEY)
        .with_api_base(format!("http://{}/v1", fleet.vms[0].caller));
    let client = Client::with_config(config);
    for question in ["What is owed?", "And by when?"] {
        let request = CreateChatCompletionRequest {
            model: MODEL.to_owned(),
            max_completion_tokens: Some(16),
            messages: vec![ChatCompletionRequestUserMessage::from(question).into()],
            ..CreateChatCompletionRequest::default()
        };
        let mut stream = client.chat().create_stream(request).await.unwrap();
        let mut text = String::new();
        while let Some(chunk) = stream.next().await {
            for choice in chunk.unwrap().choices {
                text.push_str(choice.delta.content.as_deref().unwrap_or_default());
            }
        }
        let prompt = format!("user\n{question}\n");
        assert_eq!(text, expected_text(MODEL, "1", &prompt, 16));
    }
    fleet.stop().await;
}
