use std::net::Ipv4Addr;

use bytes::Bytes;
use tokio::net::TcpListener;

use super::*;
use crate::rules::parse::MAX_FILE_BYTES;
use crate::wire::MAX_FRAME_BYTES;

/// Opens a connection between two entries on the loopback address.
async fn pair() -> ((Outbox, Inbox), (Outbox, Inbox)) {
    let secret = Secret::new("a key for tests only");
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.unwrap();
    let address = listener.local_addr().unwrap();
    let dialing = async {
        let stream = TcpStream::connect(address).await.unwrap();
        let opener = Opener::Entry { boot: BootId(1) };
        conn::dial(stream, &secret, opener).await.unwrap()
    };
    let accepting = async {
        let (stream, _) = listener.accept().await.unwrap();
        conn::accept(stream, &secret, BootId(2)).await.unwrap()
    };
    let ((_, dial_out, dial_in), (opener, out, inbox)) = tokio::join!(dialing, accepting);
    assert_eq!(opener, Opener::Entry { boot: BootId(1) });
    ((dial_out, dial_in), (out, inbox))
}

/// Receives a text whose sender sends `head` and the chunks `sent`.
async fn received(head: RulesHead, sent: Vec<RulesChunk>) -> Result<PeerVersion, FetchError> {
    let ((_dial, mut inbox), (outbox, _inbox)) = pair().await;
    sent.iter().for_each(|chunk| outbox.send(chunk));
    drop(outbox);
    receive_text(&mut inbox, head).await
}

fn head(text: &str) -> RulesHead {
    RulesHead::from(&RulesVersion::new(7, "tests", text))
}

fn split(parts: &[&'static str]) -> Vec<RulesChunk> {
    let chunk = |part: &&'static str| RulesChunk {
        data: Bytes::from_static(part.as_bytes()),
    };
    parts.iter().map(chunk).collect()
}

macro_rules! refused {
    ($($name:ident: $head:expr, $sent:expr => $error:pat,)+) => {$(
        #[tokio::test]
        async fn $name() {
            let error = received($head, $sent).await.unwrap_err();
            assert!(matches!(error, $error), "{error:?}");
        }
    )+};
}

refused! {
    a_text_above_the_limit: RulesHead { bytes: MAX_FILE_BYTES as u64 + 1, ..head("") }, vec![]
        => FetchError::Head(HeadError::TooLong(_)),
    a_length_beyond_memory: RulesHead { bytes: u64::MAX, ..head("") }, vec![]
        => FetchError::Head(HeadError::TooLong(_)),
    more_data_than_the_head_states: head("abc"), split(&["ab", "cd"]) => FetchError::TextMismatch,
    an_empty_chunk: head("abc"), split(&["ab", "", "c"]) => FetchError::TextMismatch,
    a_text_with_another_digest: head("abc"), split(&["abd"]) => FetchError::TextMismatch,
    less_data_than_the_head_states: head("abc"), split(&["ab"]) => FetchError::Conn(_),
}

#[tokio::test]
async fn the_largest_text_passes_in_chunks_within_a_frame() {
    let text = "r".repeat(MAX_FILE_BYTES);
    let sent: Vec<RulesChunk> = chunks(&text).collect();
    assert!(sent.iter().all(|p| p.data.len() < MAX_FRAME_BYTES));
    let offer = received(head(&text), sent).await.unwrap();
    assert_eq!(offer.version, 7);
    assert_eq!(*offer.text, *text);
}
