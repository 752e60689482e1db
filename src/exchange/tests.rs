use super::measure::control_cost;

#[test]
fn cost_at_the_design_size() {
    let members = if cfg!(debug_assertions) { 40 } else { 370 };
    let cost = control_cost(members, 3_500, 350, 17, 40);
    println!("{cost:?}");
    assert!(cost.max_bytes <= 3_000.0, "{cost:?}");
    assert!(cost.state_bytes <= 32 << 20, "{cost:?}");
}
