//! Orders of placement to endpoints.

use super::EndpointClient;
use super::attempt::uri;
use crate::http::send;
use crate::node::NodeHandle;
use clementinepond_decide::node::NodeEvent;
use clementinepond_decide::plan::{EndpointAction, OrderNumber, OrderReply, PlanEvent};
use clementinepond_types::{EndpointId, FencingNumber, LocalTime};
use http_body_util::Full;
use hyper::{Method, Request, StatusCode};
use serde::Serialize;

/// Order of placement to an endpoint.
#[derive(Debug, Clone)]
pub(crate) struct PlanOrder {
    pub(crate) endpoint: EndpointId,
    pub(crate) number: OrderNumber,
    pub(crate) fencing_number: FencingNumber,
    pub(crate) action: EndpointAction,
    pub(crate) deadline: LocalTime,
}

/// JSON body of an order.
#[derive(Debug, Serialize)]
struct OrderBody<'a> {
    order: OrderNumber,
    fencing_number: FencingNumber,
    time_left_ms: u64,
    action: &'a EndpointAction,
}

impl EndpointClient {
    /// Sends an order in its own task and reports the reply to the node task.
    pub(crate) fn start_order(&self, order: PlanOrder, node: &NodeHandle) {
        let client = self.clone();
        let node = node.clone();
        tokio::spawn(async move {
            let reply = client.order(&order).await;
            log::info!(
                "event=order_answered endpoint={} order={} reply={reply:?}",
                order.endpoint,
                order.number
            );
            node.send_event(NodeEvent::Plan(PlanEvent::OrderReplied {
                endpoint: order.endpoint,
                number: order.number,
                reply,
            }));
        });
    }

    async fn order(&self, order: &PlanOrder) -> OrderReply {
        let now = self.clock.now();
        // The order may have expired if the process was paused.
        if now >= order.deadline {
            log::warn!("event=order_dropped order={} reason=lapsed", order.number);
            return OrderReply::Unknown;
        }
        let Some(address) = self.address(&order.endpoint) else {
            return OrderReply::Unknown;
        };
        let body = OrderBody {
            order: order.number,
            fencing_number: order.fencing_number,
            time_left_ms: now.until(order.deadline).millis(),
            action: &order.action,
        };
        let Ok(body) = serde_json::to_vec(&body) else {
            return OrderReply::Unknown;
        };
        let request = Request::builder()
            .method(Method::POST)
            .uri(uri(address, "/orders"))
            .header("content-type", "application/json")
            .body(Full::new(body.into()));
        let Ok(request) = request else {
            return OrderReply::Unknown;
        };
        let timeout = now.until(order.deadline);
        match send(&self.unpooled_client, request, timeout).await {
            Ok(response) => reply(response.status()),
            Err(_) => OrderReply::Unknown,
        }
    }
}

const fn reply(status: StatusCode) -> OrderReply {
    match status {
        StatusCode::ACCEPTED | StatusCode::OK => OrderReply::Accepted,
        StatusCode::CONFLICT => OrderReply::Refused,
        StatusCode::INSUFFICIENT_STORAGE => OrderReply::NoMemory,
        _ => OrderReply::Unknown,
    }
}
