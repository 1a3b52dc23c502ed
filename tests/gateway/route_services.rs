//! The services at which a stream may have begun, by the routes of earlier configurations.

use ryevalve::{
    balance::service_versions::VERSION_MEMORY_US,
    gateway::{
        config::{GatewayConfig, Route, Target},
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
        started.add_history(SECOND, services.all(SECOND));
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
        started.add_history(SECOND, services.all(SECOND));
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
        started.add_history(SECOND, services.all(SECOND));
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
    let remembered = services.all(999 * SECOND).len() as u64;
    let in_force = 1;
    assert_eq!(remembered, in_force + VERSION_MEMORY_US / SECOND);
}
