use super::*;

const ENTRY: EntryKey = EntryKey(0);

/// The entry's outstanding offers after these steps.
fn outstanding(mut offers: Vec<OfferId>, steps: Steps) -> Vec<OfferId> {
    for step in steps {
        match step {
            Step::Offer(_, offer) => offers.push(offer),
            Step::Withdraw(_, offer) => offers.retain(|&o| o != offer),
        }
    }
    offers
}

macro_rules! slots {
    ($($name:ident: $before:expr, $busy:expr, $after:expr => $offers:expr;)+) => {$(
        #[test]
        fn $name() {
            let mut slots = SlotOffers::new($before);
            let now = Micros::ZERO;
            let mut offers = outstanding(Vec::new(), slots.connected(now, ENTRY));
            for _ in 0..$busy {
                let offer = offers.remove(0);
                let (verdict, steps) = slots.dispatched(now, ENTRY, offer, Backlog::default());
                assert_eq!(verdict, Verdict::Accept);
                offers = outstanding(offers, steps);
            }
            offers = outstanding(offers, slots.set_slots($after));
            assert_eq!(offers.len(), $offers);
            for _ in 0..$busy {
                offers = outstanding(offers, slots.finished());
            }
            assert_eq!(offers.len(), $after);
        }
    )+};
}

slots! {
    more_slots_are_offered: 2, 1, 5 => 4;
    fewer_slots_withdraw_offers: 5, 1, 3 => 2;
    fewer_slots_than_busy_withdraw_all: 5, 3, 2 => 0;
    no_slots_withdraw_all: 5, 2, 0 => 0;
    the_same_slots_change_nothing: 3, 1, 3 => 2;
}
