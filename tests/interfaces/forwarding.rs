//! Forwarding of requests and responses between caller and target.

use hyper::Method;

use crate::common::await_until;
use crate::common::http::Call;
use crate::harness::TestEntry;

const RESPONSES: &[(&str, &str)] = &[
    ("/empty", "HTTP/1.1 204 No Content\r\nx-kept: yes\r\n\r\n"),
    ("/same", "HTTP/1.1 304 Not Modified\r\netag: \"1\"\r\n\r\n"),
    ("/length", "HTTP/1.1 200 OK\r\ncontent-length: 1234\r\n\r\n"),
    (
        "/hop",
        "HTTP/1.1 200 OK\r\nconnection: x-gone, close\r\nx-gone: 1\r\nkeep-alive: timeout=5\r\n\
         x-kept: yes\r\nx-request-id: forged\r\ncontent-length: 2\r\n\r\nok",
    ),
    ("/show", "SHOW"),
    ("/large", "MANY"),
];

#[tokio::test]
async fn responses_without_a_body_are_forwarded() {
    let entry = TestEntry::with_responses(RESPONSES).await;
    let reply = entry.call(Call::get("/model/empty")).await;
    assert_eq!((reply.status, reply.body.len()), (204, 0));
    assert_eq!(reply.headers["x-kept"], "yes");
    let reply = entry.call(Call::get("/model/same")).await;
    assert_eq!((reply.status, reply.body.len()), (304, 0));
    assert_eq!(reply.headers["etag"], "\"1\"");
    let reply = entry
        .call(Call::new(Method::HEAD, "/model/length", ""))
        .await;
    assert_eq!((reply.status, reply.body.len()), (200, 0));
    assert_eq!(reply.headers["content-length"], "1234");
    await_until("three finished requests", || async {
        entry.finished_requests().await == 3
    })
    .await;
    assert_eq!(entry.status().await["metrics"]["requests"]["whole"], 3);
}

#[tokio::test]
async fn hop_by_hop_response_headers_are_removed() {
    let entry = TestEntry::with_responses(RESPONSES).await;
    let reply = entry.call(Call::get("/model/hop")).await;
    assert_eq!(reply.headers["x-kept"], "yes");
    assert!(!reply.headers.contains_key("x-gone"), "{:?}", reply.headers);
    assert!(
        !reply.headers.contains_key("keep-alive"),
        "{:?}",
        reply.headers
    );
    assert_ne!(reply.headers["x-request-id"], "forged");
}

#[tokio::test]
async fn hop_by_hop_and_internal_request_headers_are_removed() {
    let entry = TestEntry::with_responses(RESPONSES).await;
    let call = Call::get("/model/show")
        .header("connection", "x-gone")
        .header("x-gone", "1")
        .header("x-kept", "yes")
        .header("x-balsampitch-account", "forged")
        .header("x-balsampitch-fence", "7");
    let head = entry.call(call).await.text();
    assert!(head.contains("x-kept: yes"), "{head}");
    assert!(head.contains("x-balsampitch-account: school"), "{head}");
    for removed in ["x-gone", "forged", "authorization", "x-balsampitch-fence"] {
        assert!(!head.contains(removed), "{removed}: {head}");
    }
}

#[tokio::test]
async fn an_oversized_response_head_fails_only_its_own_request() {
    let entry = TestEntry::with_responses(RESPONSES).await;
    let before = entry.status().await["metrics"]["events"]["dispatches"].clone();
    let reply = entry.call(Call::get("/model/large")).await;
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(reply.json()["reason"], "target_failed", "{before}");
    let reply = entry.call(Call::get("/model/empty")).await;
    assert_eq!(reply.status, 204);
}
