//! Reservations for short prompts, and transfers of cached prefixes between engines.

use balsampitch::gateway::config::{EngineCapacity, Service};
use balsampitch::gateway::prefix_transfer::TransferRate;
use balsampitch::units::Micros;

use crate::harness::{KEY, TestGateway, config_with};
use crate::target::{Behaviour, Reservations, Target};

/// Backlog of a target, in prompt tokens: seconds of prefill.
const BACKLOG: u64 = 500_000;
const SHORT: &str = "Token-Count: 900,40\r\nPrompt-Prefix: a1:300,b2:600\r\n";
/// Has the same prefix as [`LONG`].
const LONG_AGAIN: &str = "Token-Count: 17000,40\r\nPrompt-Prefix: c3:13300,e5:3700\r\n";
const LONG: &str = "Token-Count: 17000,40\r\nPrompt-Prefix: c3:13300,d4:3700\r\n";

/// Engines that reserve room and transfer cached prompts.
async fn gateway_with(targets: &[&Target]) -> TestGateway {
    let gateway = TestGateway::start_with_targets(targets).await;
    let engine = EngineCapacity {
        slots: 4,
        kv_capacity: 400_000,
        transfer: TransferRate::new(20_000.0, 4e11),
        max_reservation: Some(Micros::from_secs(2)),
    };
    let service = Service {
        engine: Some(engine),
        ..Service::default()
    };
    gateway
        .directory
        .put_config(config_with(2, &[KEY], service));
    gateway
        .wait_until(|state| state.config().version == 2)
        .await;
    gateway
}

/// Gives a target a backlog of prompts.
fn keep_busy(gateway: &TestGateway, id: &str) {
    gateway.state.with_targets(|targets| {
        let target = targets.iter_mut().find(|target| target.id.as_ref() == id);
        target.expect("it is listed").load.prefill_tokens = BACKLOG;
    });
}

/// Sends a prompt, which must be served, and returns the heads that its target received.
async fn ask(gateway: &TestGateway, prompt: &str, target: &Target) -> Vec<String> {
    let headers = format!("Authorization: Bearer {KEY}\r\n{prompt}");
    let reply = gateway.call_with("POST", "/read/1", &headers).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    target.received().heads
}

/// Guards against a short prompt that is lost, sent twice or kept waiting because of its
/// reservation: how the target answers, and whether the request names the room.
macro_rules! reservations {
    ($($name:ident: $prompt:expr, $answer:expr => $named:expr;)*) => {$(
        #[tokio::test]
        async fn $name() {
            let target = Target::start(&[Behaviour::Complete]).await;
            target.set_reservations($answer);
            let other = Target::start(&[Behaviour::Complete]).await;
            let gateway = gateway_with(&[&target, &other]).await;
            keep_busy(&gateway, "t1");
            let heads = ask(&gateway, $prompt, &target).await;
            assert_eq!(heads.len(), 1, "{heads:?}");
            assert_eq!(heads[0].to_lowercase().contains("\r\nhold: room-1\r\n"), $named, "{heads:?}");
        }
    )*};
}

reservations! {
    a_short_prompt_names_the_room_that_its_target_reserved: SHORT, Reservations::Granted => true;
    a_short_prompt_is_sent_without_a_room_if_its_target_declines: SHORT, Reservations::Declined => false;
    a_short_prompt_is_sent_without_a_room_whose_id_is_unreadable: SHORT, Reservations::Unreadable => false;
    a_short_prompt_is_sent_on_another_connection_if_its_target_is_silent: SHORT, Reservations::Silent => false;
    a_long_prompt_reserves_no_room: LONG, Reservations::Granted => false;
}

/// Targets of a prefix: the one that has cached it, the other one, and its address as named in the
/// header of a request to the other one.
async fn cached_elsewhere() -> (TestGateway, Target, Target, String) {
    let targets = [
        Target::start(&[Behaviour::Complete]).await,
        Target::start(&[Behaviour::Complete]).await,
    ];
    let gateway = gateway_with(&[&targets[0], &targets[1]]).await;
    let [first, second] = targets;
    ask(&gateway, LONG, &first).await;
    let (holder, holder_id, other) = match first.count() {
        0 => (second, "t1", first),
        _ => (first, "t0", second),
    };
    keep_busy(&gateway, holder_id);
    let header = format!("\r\nkv-fetch: {}\r\n", holder.addr);
    (gateway, holder, other, header)
}

#[tokio::test]
async fn a_prefix_is_fetched_from_the_target_that_has_cached_it() {
    let (gateway, holder, other, header) = cached_elsewhere().await;
    let heads = ask(&gateway, LONG_AGAIN, &other).await;
    assert_eq!((holder.count(), heads.len()), (1, 1));
    assert!(heads[0].to_lowercase().contains(&header), "{heads:?}");
}

/// Guards against a target that is told to fetch from one that is shutting down.
#[tokio::test]
async fn a_prefix_is_not_fetched_from_a_draining_target() {
    let (gateway, holder, other, _) = cached_elsewhere().await;
    let id = gateway.state.with_targets(|targets| {
        let holder = targets
            .iter()
            .find(|target| target.entry.addr == holder.addr);
        holder.expect("it is listed").id.clone()
    });
    gateway.directory.put_target(&id, holder.addr, true);
    let drains = |state: &balsampitch::gateway::state::GatewayState| {
        state.with_targets(|targets| targets.by_id(&id).is_some_and(|t| t.entry.draining))
    };
    gateway.wait_until(drains).await;
    let heads = ask(&gateway, LONG_AGAIN, &other).await;
    assert!(!heads[0].to_lowercase().contains("kv-fetch"), "{heads:?}");
}
