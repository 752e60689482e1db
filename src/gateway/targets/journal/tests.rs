use std::sync::Arc;

use super::{Journal, MAX_CHANGES};

fn journal(changes: usize) -> Journal {
    let mut journal = Journal::default();
    for index in 0..changes {
        journal.record(&Arc::from(index.to_string()));
    }
    journal
}

fn since(journal: &Journal, seen: u64) -> Option<Vec<String>> {
    let ids = journal.since(seen)?;
    Some(ids.map(|id| id.to_string()).collect())
}

macro_rules! copies {
    ($($name:ident: $changes:expr, $seen:expr => $ids:expr;)*) => {$(
        #[test]
        fn $name() {
            let ids: Option<&[&str]> = $ids;
            let expected = ids.map(|ids| ids.iter().map(|id| id.to_string()).collect::<Vec<_>>());
            assert_eq!(since(&journal($changes), $seen), expected);
        }
    )*};
}

copies! {
    an_empty_journal_has_nothing_to_copy: 0, 0 => Some(&[]);
    only_the_changes_that_were_not_seen: 4, 2 => Some(&["2", "3"]);
    nothing_after_the_last_change: 4, 4 => Some(&[]);
    a_number_that_was_never_given: 4, 5 => None;
}

#[test]
fn changes_that_are_no_longer_kept_need_a_complete_copy() {
    let journal = journal(MAX_CHANGES + 1);
    assert_eq!(since(&journal, 0), None);
    assert_eq!(since(&journal, 1).map(|ids| ids.len()), Some(MAX_CHANGES));
}
