use super::{VersionRule, VersionTag};

const ONE: VersionTag = VersionTag(1);
const TWO: VersionTag = VersionTag(2);

/// Whether a target of a version may get a request.
macro_rules! rules {
    ($($name:ident: $rule:expr, $version:expr => $allowed:expr;)*) => {$(
        #[test]
        fn $name() {
            assert_eq!($rule.allows($version), $allowed);
        }
    )*};
}

rules! {
    a_new_request_goes_to_any_version: VersionRule::Any, Some(TWO) => true;
    a_new_request_goes_to_an_unknown_version: VersionRule::Any, None => true;
    a_stream_goes_on_at_its_version: VersionRule::for_stream_of(Some(ONE)), Some(ONE) => true;
    a_stream_does_not_go_on_at_another_one: VersionRule::for_stream_of(Some(ONE)), Some(TWO) => false;
    a_stream_does_not_go_on_at_an_unknown_one: VersionRule::for_stream_of(Some(ONE)), None => false;
    a_stream_of_an_unknown_version_goes_on_nowhere: VersionRule::for_stream_of(None), None => false;
}
