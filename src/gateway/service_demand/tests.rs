use super::{DemandMap, MAX_SERVICES, ServiceDemand, ServiceTag};
use crate::units::Micros;

const MODEL: ServiceTag = ServiceTag(1);
const NOW: Micros = Micros::from_secs(10);

/// The part of a gateway with `own` requests while the others report this.
macro_rules! parts {
    ($($name:ident: $own:expr, $others:expr, $known:expr => $part:expr;)*) => {$(
        #[test]
        fn $name() {
            let mut demand = ServiceDemand::default();
            let own: u32 = $own;
            for _ in 0..own {
                demand.record(NOW, MODEL);
            }
            let others: Option<u32> = $others;
            let others = others.map(|count| DemandMap::from_iter([(MODEL, count)]));
            demand.set_others(others, $known);
            assert_eq!(demand.part(NOW, MODEL), $part);
        }
    )*};
}

parts! {
    a_gateway_alone_has_the_whole: 5, None, 0 => 1.0;
    a_gateway_that_hears_nobody_takes_an_equal_part: 5, None, 3 => 0.25;
    without_demand_the_parts_are_equal: 0, Some(0), 3 => 0.25;
    all_demand_is_here: 5, Some(0), 3 => 1.0;
    a_quarter_of_the_demand_is_here: 5, Some(15), 1 => 0.25;
    a_gateway_without_demand_leaves_it_to_the_others: 0, Some(15), 3 => 0.0;
}

#[test]
fn old_requests_no_longer_count() {
    let mut demand = ServiceDemand::default();
    demand.record(NOW, MODEL);
    assert_eq!(demand.own(NOW)[&MODEL], 1);
    assert!(demand.own(NOW + Micros::from_secs(3)).is_empty());
}

#[test]
fn the_number_of_services_is_bounded() {
    let mut demand = ServiceDemand::default();
    for service in 0..2 * MAX_SERVICES as u32 {
        demand.record(NOW, ServiceTag(service));
    }
    assert_eq!(demand.own(NOW).len(), MAX_SERVICES);
}
