//! Lookup of the route and the organisation of a request.

use ryevalve::gateway::{config::Target, routes::RouteTable};

use crate::support::{config, organisation, route};

fn table() -> RouteTable {
    let routes = vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other-host", "b.example", "/x/y/"),
    ];
    RouteTable::new(config(
        1,
        routes,
        vec![organisation("org", &["key-1", "key-2"])],
    ))
}

#[test]
fn the_longest_path_prefix_of_the_host_wins() {
    let table = table();
    let found = |host, path| table.route(host, path).map(|r| r.name.to_string());
    assert_eq!(found("a.example", "/x/y/2f").as_deref(), Some("long"));
    assert_eq!(found("a.example", "/x/yy").as_deref(), Some("short"));
    assert_eq!(found("b.example", "/x/y/").as_deref(), Some("other-host"));
    assert_eq!(found("a.example:8221", "/x/").as_deref(), Some("short"));
    assert_eq!(found("b.example", "/x/"), None);
    assert_eq!(found("c.example", "/x/"), None);
    assert_eq!(found("a.example", "/x"), None);
}

#[test]
fn a_key_maps_to_its_organisation_only() {
    let table = table();
    let owner = |key| table.organisation(key).map(|o| o.name.to_string());
    assert_eq!(owner("key-2").as_deref(), Some("org"));
    assert_eq!(owner("key-3"), None);
    assert_eq!(owner(""), None);
}

#[test]
fn a_public_route_needs_no_key_nor_does_a_configuration_without_organisations() {
    let mut public = route("public", "a.example", "/p/");
    public.public = true;
    let keyed = route("keyed", "a.example", "/k/");
    let organisations = vec![organisation("org", &["key"])];
    let with = RouteTable::new(config(1, vec![public, keyed], organisations));
    let needs = |path| with.needs_key(with.route("a.example", path).unwrap());
    assert!(!needs("/p/"));
    assert!(needs("/k/"));
    let without = RouteTable::new(config(1, vec![route("r", "a.example", "/k/")], vec![]));
    assert!(!without.needs_key(without.route("a.example", "/k/").unwrap()));
}

#[test]
fn targets_are_picked_by_weight_and_never_with_weight_zero() {
    let mut split = route("split", "a.example", "/");
    let target = |service: &str, weight| Target {
        service: service.into(),
        weight,
    };
    split.targets = vec![target("none", 0), target("most", 90), target("some", 10)];
    let picked = |draw| split.pick_target(draw).unwrap().to_string();
    assert_eq!(picked(0.0), "most");
    assert_eq!(picked(0.899), "most");
    assert_eq!(picked(0.901), "some");
    assert_eq!(picked(0.999_999), "some");
    split.targets = vec![target("none", 0)];
    assert_eq!(split.pick_target(0.5), None);
}
