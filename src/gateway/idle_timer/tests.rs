use std::future::poll_fn;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::IdleTimer;

const MOST: Duration = Duration::from_millis(600);

macro_rules! silences {
    ($($name:ident: $heard_ms:expr => $fires_ms:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let began = Instant::now();
            let mut idle_timer = IdleTimer::new(MOST);
            let heard: &[u64] = &$heard_ms;
            for &at in heard {
                let left = Duration::from_millis(at) - began.elapsed();
                let fired = timeout(left, poll_fn(|context| idle_timer.poll(context))).await;
                assert!(fired.is_err());
                idle_timer.reset();
            }
            poll_fn(|context| idle_timer.poll(context)).await;
            let fires = Duration::from_millis($fires_ms);
            let late = began.elapsed() - fires;
            assert!(late <= Duration::from_millis(2), "{late:?} late");
        }
    )*};
}

silences! {
    fires_when_nothing_comes: [] => 600;
    waits_anew_after_what_comes: [400] => 1_000;
    stays_quiet_while_something_comes: [500, 1_000, 1_500, 2_000] => 2_600;
}

#[tokio::test(start_paused = true)]
async fn fires_at_once_when_looked_at_late() {
    let mut idle_timer = IdleTimer::new(MOST);
    sleep(MOST * 2).await;
    let now = Instant::now();
    poll_fn(|context| idle_timer.poll(context)).await;
    assert_eq!(now.elapsed(), Duration::ZERO);
}
