use super::{BASE_BYTES, CONNECTION_BYTES, ConnectionLimits, RESERVED};

const MB: usize = 1 << 20;

macro_rules! hosts {
    ($($name:ident: $descriptors:expr, $megabytes:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = ConnectionLimits::new($descriptors, $megabytes * MB);
            let total = limits.callers + limits.targets;
            let reserved = RESERVED.min($descriptors / 8);
            assert!(total + reserved <= $descriptors, "{limits:?}");
            assert!(total * CONNECTION_BYTES + BASE_BYTES <= $megabytes * MB, "{limits:?}");
            assert!(limits.kept_callers < limits.callers && limits.idle_targets < limits.targets);
            // Each request can be sent while half of the callers' connections are idle.
            assert!(limits.targets * 2 >= limits.callers, "{limits:?}");
        }
    )*};
}

hosts! {
    a_host_short_of_memory: 4_100, 160;
    a_host_short_of_descriptors: 1_024, 4_096;
    a_large_host: 8_192, 512;
}

macro_rules! bodies {
    ($($name:ident: $descriptors:expr, $megabytes:expr => $bodies:expr;)*) => {$(
        #[test]
        fn $name() {
            let limits = ConnectionLimits::new($descriptors, $megabytes * MB);
            assert_eq!(limits.body_bytes($megabytes * MB) / MB, $bodies);
        }
    )*};
}

bodies! {
    the_bodies_of_a_host_short_of_memory_have_a_quarter: 4_100, 160 => 30;
    the_bodies_of_a_host_have_what_connections_leave: 4_100, 260 => 84;
    the_bodies_of_a_host_without_memory_have_none: 4_100, 40 => 0;
}

#[test]
fn a_process_with_few_descriptors_can_still_serve() {
    let limits = ConnectionLimits::new(128, 64 * MB);
    assert!(limits.callers > 0 && limits.targets > 0);
}
