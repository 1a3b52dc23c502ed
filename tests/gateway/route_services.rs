//! The services at which a stream may have begun, by the routes of earlier configurations.

use std::collections::HashSet;

use ryevalve::{
    balance::service_versions::VERSION_MEMORY_US,
    gateway::{
        config::{GatewayConfig, Route, Target},
        route_list::RouteList,
        route_services::RouteServices,
    },
};

use crate::support::{SECOND, config, route};

const HOST: &str = "a.example";
const SERVICES: [&str; 3] = ["one", "two", "three"];

/// Returns a route that leads to services with weights.
fn leading(prefix: &str, targets: &[(&str, u32)]) -> Route {
    let targets = targets.iter().map(|(service, weight)| Target {
        service: (*service).into(),
        weight: *weight,
    });
    Route {
        targets: targets.collect(),
        ..route(prefix, HOST, prefix)
    }
}

fn single(prefix: &str, service: &str) -> GatewayConfig {
    config(1, vec![leading(prefix, &[(service, 1)])], vec![])
}

/// Returns the only service that a path has led to, if there is one.
fn only(services: &RouteServices, now_us: u64, path: &str) -> Option<&'static str> {
    let mut known = SERVICES.into_iter();
    known.find(|service| services.is_only_service(now_us, HOST, path, service))
}

#[test]
fn service_of_an_earlier_configuration_counts_for_as_long_as_versions_do() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    assert_eq!(only(&services, SECOND, "/x/a"), Some("one"));
    services.put_in_force(10 * SECOND, &single("/x/", "two"));
    let end_us = 10 * SECOND + VERSION_MEMORY_US;
    assert_eq!(only(&services, end_us - 1, "/x/a"), None);
    assert_eq!(only(&services, end_us, "/x/a"), Some("two"));
}

/// Guards against a service that counts from its first configuration on and not from its last.
#[test]
fn service_that_comes_back_counts_again_from_its_last_end() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    services.put_in_force(10 * SECOND, &single("/x/", "two"));
    services.put_in_force(20 * SECOND, &single("/x/", "one"));
    services.put_in_force(90 * SECOND, &single("/x/", "two"));
    let end_us = 90 * SECOND + VERSION_MEMORY_US;
    assert_eq!(only(&services, end_us - 1, "/x/a"), None);
    assert_eq!(only(&services, end_us, "/x/a"), Some("two"));
}

#[test]
fn target_without_weight_is_no_origin_and_several_weights_are_several() {
    let mut services = RouteServices::default();
    let unused = leading("/x/", &[("one", 1), ("two", 0)]);
    let split = leading("/y/", &[("one", 99), ("two", 1)]);
    services.put_in_force(0, &config(1, vec![unused, split], vec![]));
    assert_eq!(only(&services, SECOND, "/x/a"), Some("one"));
    assert_eq!(only(&services, SECOND, "/y/a"), None);
}

/// Two routes share a service, and one of them is moved away from it.
#[test]
fn route_that_is_moved_leaves_others_of_its_service_alone() {
    let mut services = RouteServices::default();
    let moved = |service| {
        let routes = vec![
            leading("/x/", &[(service, 1)]),
            leading("/y/", &[("one", 1)]),
        ];
        config(1, routes, vec![])
    };
    services.put_in_force(0, &moved("one"));
    services.put_in_force(SECOND, &moved("two"));
    assert_eq!(only(&services, SECOND, "/x/a"), None);
    assert_eq!(only(&services, SECOND, "/y/a"), Some("one"));
}

#[test]
fn renamed_route_has_the_services_of_its_path() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    let renamed = Route {
        name: "other-name".into(),
        ..leading("/x/", &[("two", 1)])
    };
    services.put_in_force(SECOND, &config(2, vec![renamed], vec![]));
    assert_eq!(only(&services, SECOND, "/x/a"), None);
}

#[test]
fn path_that_gets_a_route_of_its_own_or_loses_it_has_the_services_of_both() {
    let mut services = RouteServices::default();
    let short = || leading("/x/", &[("one", 1)]);
    let long = || leading("/x/y/", &[("two", 1)]);
    services.put_in_force(0, &config(1, vec![short()], vec![]));
    services.put_in_force(SECOND, &config(2, vec![long(), short()], vec![]));
    assert_eq!(only(&services, SECOND, "/x/y/a"), None);
    assert_eq!(only(&services, SECOND, "/x/a"), Some("one"));
    let later_us = SECOND + VERSION_MEMORY_US;
    assert_eq!(only(&services, later_us, "/x/y/a"), Some("two"));
    services.put_in_force(later_us, &config(3, vec![short()], vec![]));
    assert_eq!(only(&services, later_us, "/x/y/a"), None);
    let end_us = later_us + VERSION_MEMORY_US;
    assert_eq!(only(&services, end_us, "/x/y/a"), Some("one"));
}

/// Guards against nested routes whose streams count as of several services though nothing has changed.
#[test]
fn longer_route_that_was_there_all_along_hides_the_shorter_one() {
    let mut services = RouteServices::default();
    let routes = || vec![leading("/", &[("one", 1)]), leading("/x/", &[("two", 1)])];
    services.put_in_force(0, &config(1, routes(), vec![]));
    services.put_in_force(SECOND, &config(2, routes(), vec![]));
    assert_eq!(only(&services, SECOND, "/x/a"), Some("two"));
    assert_eq!(only(&services, SECOND, "/y/a"), Some("one"));
    // Nor at an instance that reads what others knew, before or after it gets the configuration.
    for is_config_first in [true, false] {
        let mut started = RouteServices::default();
        if is_config_first {
            started.put_in_force(0, &config(2, routes(), vec![]));
        }
        started.merge_list(SECOND, services.known(SECOND), true);
        started.put_in_force(2 * SECOND, &config(2, routes(), vec![]));
        assert_eq!(only(&started, 2 * SECOND, "/x/a"), Some("two"));
        assert_eq!(only(&started, 2 * SECOND, "/y/a"), Some("one"));
    }
}

/// Guards against an instance that starts after a route was moved and takes its service for the only one.
#[test]
fn service_that_an_earlier_instance_knew_counts_at_one_that_starts() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    services.put_in_force(SECOND, &single("/x/", "two"));
    for is_config_first in [true, false] {
        let mut started = RouteServices::default();
        if is_config_first {
            started.put_in_force(0, &single("/x/", "two"));
        }
        started.merge_list(SECOND, services.known(SECOND), true);
        started.put_in_force(2 * SECOND, &single("/x/", "two"));
        let end_us = SECOND + VERSION_MEMORY_US;
        assert_eq!(only(&started, end_us - 1, "/x/a"), None);
        assert_eq!(only(&started, end_us, "/x/a"), Some("two"));
    }
}

/// A route came while no instance ran, or before the last instance wrote what it knew.
#[test]
fn path_of_a_route_that_the_history_lacks_has_the_services_of_the_shorter_one() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/", "one"));
    for is_config_first in [true, false] {
        let mut started = RouteServices::default();
        let routes = || vec![leading("/", &[("one", 1)]), leading("/x/", &[("two", 1)])];
        if is_config_first {
            started.put_in_force(0, &config(2, routes(), vec![]));
        }
        started.merge_list(SECOND, services.known(SECOND), true);
        started.put_in_force(2 * SECOND, &config(2, routes(), vec![]));
        assert_eq!(only(&started, 2 * SECOND, "/x/a"), None);
    }
}

/// Guards against a memory that grows with each change.
#[test]
fn services_that_have_expired_are_forgotten() {
    let mut services = RouteServices::default();
    for second in 0..1_000 {
        let prefix = format!("/{second}/");
        services.put_in_force(second * SECOND, &single(&prefix, "one"));
    }
    let known = services.known(999 * SECOND).into_iter();
    let prefixes: HashSet<_> = known.map(|known| known.path_prefix).collect();
    let in_force = 1;
    let remembered = VERSION_MEMORY_US / SECOND;
    assert_eq!(prefixes.len() as u64, in_force + remembered);
}

/// Guards against a memory that begins anew with each reading of the list.
#[test]
fn list_that_is_read_again_does_not_prolong_the_memory() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    let in_force = services.known(0);
    services.put_in_force(0, &single("/x/", "two"));
    let ended = services.known(100 * SECOND);
    // The clock of an instance that starts is behind the time at which the service ended.
    for listed in [in_force, ended] {
        let ended_for_us = listed.iter().filter_map(|known| known.ended_for_us).max();
        let end_us = VERSION_MEMORY_US - ended_for_us.unwrap_or(0);
        let mut started = RouteServices::default();
        started.put_in_force(0, &single("/x/", "two"));
        started.merge_list(0, listed.clone(), true);
        started.merge_list(SECOND, started.known(SECOND), false);
        assert_eq!(only(&started, end_us - 1, "/x/a"), None);
        started.merge_list(end_us - 1, started.known(end_us - 1), false);
        assert_eq!(only(&started, end_us, "/x/a"), Some("two"));
    }
}

/// Guards against a write for each difference between instances, and against a list that keeps a service in force that
/// has ended.
#[test]
fn list_is_written_for_a_new_service_and_once_more_for_its_end() {
    let mut services = RouteServices::default();
    let list = |services: &RouteServices, now_us: u64| {
        let now_unix_ms = 1_000_000 + now_us / 1_000;
        RouteList::of_known(services.known(now_us), now_unix_ms)
    };
    services.put_in_force(0, &single("/x/", "one"));
    let first = list(&services, 0);
    assert!(!RouteList::default().covers(&first));
    assert!(first.covers(&list(&services, SECOND)));
    services.put_in_force(SECOND, &single("/x/", "two"));
    let moved = list(&services, SECOND);
    assert!(!first.covers(&moved));
    assert!(moved.covers(&list(&services, 10 * SECOND)));
    let ended = list(&services, 20 * SECOND);
    assert!(!moved.covers(&ended));
    assert!(ended.covers(&list(&services, 100 * SECOND)));
    assert!(ended.covers(&list(&services, 2 * VERSION_MEMORY_US)));
    // An instance that reads the list and has the older configuration leaves it as it is.
    let mut behind = RouteServices::default();
    behind.put_in_force(0, &single("/x/", "one"));
    behind.merge_list(SECOND, moved.known(1_001_000), false);
    assert!(moved.covers(&list(&behind, 2 * SECOND)));
}

/// Guards against a route of another instance's configuration that hides the one which this instance still has.
#[test]
fn path_of_a_route_that_this_instance_does_not_have_yet_has_the_services_of_the_shorter_one() {
    let mut newer = RouteServices::default();
    let (short, long) = (leading("/", &[("one", 1)]), leading("/x/", &[("one", 1)]));
    newer.put_in_force(0, &config(3, vec![short, long], vec![]));
    let mut behind = RouteServices::default();
    behind.put_in_force(0, &single("/", "two"));
    behind.put_in_force(SECOND, &single("/", "one"));
    behind.merge_list(2 * SECOND, newer.known(SECOND), false);
    assert_eq!(only(&behind, 2 * SECOND, "/x/a"), None);
}

/// Guards against confirming the version of a service to an instance that does not know that a route was moved there.
#[test]
fn service_to_which_a_route_was_moved_recently_is_known() {
    let mut services = RouteServices::default();
    services.put_in_force(0, &single("/x/", "one"));
    assert!(!services.has_moved_to(SECOND, "one"));
    services.put_in_force(10 * SECOND, &single("/x/", "two"));
    let end_us = 10 * SECOND + VERSION_MEMORY_US;
    assert!(services.has_moved_to(end_us - 1, "two"));
    assert!(!services.has_moved_to(end_us - 1, "three"));
    assert!(!services.has_moved_to(end_us, "two"));
}

/// The requests of a route that is gone lead to the service of a shorter prefix.
#[test]
fn route_that_is_gone_may_have_been_moved_to_any_service() {
    let mut services = RouteServices::default();
    let shorter = leading("/x/", &[("one", 1)]);
    let longer = leading("/x/y/", &[("two", 1)]);
    services.put_in_force(0, &config(1, vec![shorter.clone(), longer], vec![]));
    assert!(!services.has_moved_to(SECOND, "one"));
    services.put_in_force(SECOND, &config(2, vec![shorter], vec![]));
    assert!(services.has_moved_to(2 * SECOND, "one"));
}
