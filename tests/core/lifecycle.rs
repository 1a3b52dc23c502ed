//! Tests of `core::lifecycle`.

use assert_matches::assert_matches;

use ryevalve::core::lifecycle::*;
use ryevalve::prelude::*;

fn registration(epoch: u64) -> Registration {
    Registration {
        entry: Incarnation(1),
        epoch,
    }
}

#[test]
fn sends_once() {
    let mut request = Lifecycle::new(registration(1));
    assert!(request.send().is_err());
    request.grant(registration(1)).unwrap();
    request.send().unwrap();
    assert!(request.send().is_err());
    assert!(request.return_grant().is_err());
    assert!(request.refuse().is_err());
    request.finish(false).unwrap();
    assert_eq!(request.stage(), Stage::Ended(Ending::OutcomeUnknown));
}

#[test]
fn rejects_grant_of_earlier_registration() {
    let mut request = Lifecycle::new(registration(1));
    request.reregister(registration(2));
    assert_matches!(
        request.grant(registration(1)),
        Err(LifecycleError::StaleRegistration { .. })
    );
    request.grant(registration(2)).unwrap();
}

#[test]
fn is_not_shed_once_granted() {
    let mut request = Lifecycle::new(registration(1));
    request.grant(registration(1)).unwrap();
    assert!(request.shed().is_err());
    request.refuse().unwrap();
    assert_eq!(request.stage(), Stage::Ended(Ending::NotRun));
    assert!(request.grant(registration(1)).is_err());
}
