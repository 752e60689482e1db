use bytes::Bytes;
use proptest::prelude::*;

use super::{EventError, MAX_EVENT_BYTES, SEARCH_BLOCK, Splitter, events_end};
use crate::gateway::byte_budget::ByteBudget;

/// Feeds these pieces to a splitter and returns the events that it emits.
fn split(pieces: &[&[u8]]) -> (Vec<u8>, Splitter) {
    let mut splitter = Splitter::new(&ByteBudget::default());
    let mut out = Vec::new();
    for piece in pieces {
        let complete = splitter.push(Bytes::copy_from_slice(piece));
        out.extend_from_slice(&complete.expect("the events are short"));
    }
    (out, splitter)
}

macro_rules! streams {
    ($($name:ident: $pieces:expr => $emitted:expr, $partial:expr, $last:expr;)*) => {$(
        #[test]
        fn $name() {
            let (out, splitter) = split(&$pieces);
            assert_eq!(out, $emitted.to_vec());
            assert_eq!(splitter.has_partial(), $partial);
            assert_eq!(splitter.last_id(), $last);
        }
    )*};
}

streams! {
    a_whole_event: [b"id: 1\ndata: a\n\n"] => b"id: 1\ndata: a\n\n", false, Some("1");
    a_part_is_held: [b"id: 1\ndata: a\n\nid: 2\nda"] => b"id: 1\ndata: a\n\n", true, Some("1");
    a_part_is_completed: [b"id: 7\nda", b"ta: a\n", b"\n"] => b"id: 7\ndata: a\n\n", false, Some("7");
    two_events: [b"id: 1\n\nid: 2\n\n"] => b"id: 1\n\nid: 2\n\n", false, Some("2");
    carriage_returns: [b"id: 3\r\n\r\nid"] => b"id: 3\r\n\r\n", true, Some("3");
    an_event_without_id: [b"id: 1\n\n", b"data: x\n\n"] => b"id: 1\n\ndata: x\n\n", false, Some("1");
    nothing: [] => b"", false, None;
}

/// Guards against an event without end, in pieces of few bytes, that takes all processor time.
#[test]
fn an_event_without_end_in_small_pieces_is_given_up_soon() {
    let mut splitter = Splitter::new(&ByteBudget::default());
    let pieces = MAX_EVENT_BYTES / 4;
    for _ in 0..pieces {
        let complete = splitter.push(Bytes::from_static(b"data"));
        assert_eq!(complete, Ok(Bytes::new()));
    }
    assert_eq!(
        splitter.push(Bytes::from_static(b"data")),
        Err(EventError::TooLong)
    );
}

/// Pushes all pieces, with what the splitter gives back in between; returns what it emits.
fn push_all(splitter: &mut Splitter, pieces: &[&[u8]]) -> Vec<u8> {
    let mut out = Vec::new();
    for piece in pieces {
        let mut next = Some(Bytes::copy_from_slice(piece));
        while let Some(data) = next {
            out.extend_from_slice(&splitter.push(data).expect("the events are short"));
            next = splitter.take_next();
        }
    }
    out
}

/// Guards against streams that end because other clients do not read: an event that finds no memory
/// is passed on, and one without end is still given up.
#[test]
fn an_event_that_finds_no_memory_is_passed_on() {
    let mut splitter = Splitter::new(&ByteBudget::new(40_000));
    let piece = [b'd'; 8_000];
    let out = push_all(&mut splitter, &[piece.as_slice(); 5]);
    assert_eq!(out.len(), 40_000);
    assert!(!splitter.is_resumable() && splitter.has_partial());
    push_all(&mut splitter, &[b"\r\n", b"\r\n"]);
    assert!(!splitter.is_resumable() && !splitter.has_partial());
    let piece = Bytes::from_static(&[b'd'; 64 * 1024]);
    let results: Vec<_> = (0..17).map(|_| splitter.push(piece.clone())).collect();
    assert_eq!(results.last(), Some(&Err(EventError::TooLong)));
}

/// Guards against ends of events that are missed where they lie across blocks of the search.
#[test]
fn the_end_of_an_event_is_found_at_any_offset() {
    for length in 0..3 * SEARCH_BLOCK {
        for end in ["\n\n", "\n\r\n"] {
            let event = format!("{}{end}", "d".repeat(length));
            let data = format!("{event}data: \n{}", "d".repeat(SEARCH_BLOCK));
            assert_eq!(events_end(data.as_bytes()), event.len(), "{length}");
        }
    }
}

/// Guards against large events that take the memory once they are complete and wait for a client.
#[test]
fn a_complete_event_counts_until_it_is_written() {
    let budget = ByteBudget::new(4_000_000);
    let mut splitter = Splitter::new(&budget);
    let event = [b"data: ".as_slice(), &[b'd'; 100_000]].concat();
    push_all(&mut splitter, &[&event]);
    let complete = splitter.push(Bytes::from_static(b"\n\nid"));
    assert!(budget.used() >= 100_000, "{}", budget.used());
    drop(complete);
    assert_eq!(budget.used(), 2);
}

proptest! {
    /// However a stream is cut into pieces, all of it comes out as complete events.
    #[test]
    fn cuts_do_not_matter(cuts in proptest::collection::vec(1_usize..9, 0..40)) {
        let text: Vec<u8> = (0..12).flat_map(|n| format!("id: {n}\ndata: {n}\n\n").into_bytes()).collect();
        let mut pieces = Vec::new();
        let mut rest = text.as_slice();
        for cut in cuts {
            let (piece, after) = rest.split_at(cut.min(rest.len()));
            pieces.push(piece);
            rest = after;
        }
        pieces.push(rest);
        let (out, splitter) = split(&pieces);
        prop_assert_eq!(out, text);
        prop_assert!(!splitter.has_partial());
    }

    /// Without memory too, and the end of each event is recognized.
    #[test]
    fn cuts_do_not_matter_without_memory(cut in 1_usize..40, carriage in any::<bool>()) {
        let end = if carriage { "\r\n" } else { "\n" };
        let text = format!("id: 1{end}data: 1{end}{end}").repeat(3).into_bytes();
        for length in 0..=text.len() {
            let mut splitter = Splitter::new(&ByteBudget::new(0));
            let pieces: Vec<&[u8]> = text[..length].chunks(cut).collect();
            prop_assert_eq!(push_all(&mut splitter, &pieces), &text[..length]);
            let is_end = length % (text.len() / 3) == 0;
            prop_assert_eq!(splitter.has_partial(), !is_end);
        }
    }
}
