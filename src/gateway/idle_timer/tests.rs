use std::future::poll_fn;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use super::IdleTimer;

const TIMEOUT: Duration = Duration::from_millis(600);

macro_rules! activity {
    ($($name:ident: $active_ms:expr => $fires_ms:expr;)*) => {$(
        #[tokio::test(start_paused = true)]
        async fn $name() {
            let began = Instant::now();
            let mut idle_timer = IdleTimer::new(TIMEOUT);
            let active_ms: &[u64] = &$active_ms;
            for &at in active_ms {
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

activity! {
    fires_without_activity: [] => 600;
    restarts_with_activity: [400] => 1_000;
    does_not_fire_during_activity: [500, 1_000, 1_500, 2_000] => 2_600;
}

#[tokio::test(start_paused = true)]
async fn fires_at_once_when_polled_late() {
    let mut idle_timer = IdleTimer::new(TIMEOUT);
    sleep(TIMEOUT * 2).await;
    let now = Instant::now();
    poll_fn(|context| idle_timer.poll(context)).await;
    assert_eq!(now.elapsed(), Duration::ZERO);
}
