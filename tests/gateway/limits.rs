//! What an organisation uses over all instances stays within its limit and tolerance.

use proptest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use ryevalve::{
    limits::organisation::{OrganisationLimits, Sharers, Teller, ToldUse, Tolerance, short_hash},
    prelude::Incarnation,
};

use crate::support::{MS, SECOND, config, limited, organisation};

const TOLERANCE: Tolerance = Tolerance {
    window_s: 8.0,
    overage: 0.1,
    slack: 20_000.0,
};
const RATE: f64 = 10_000.0;
const BURST: f64 = 10_000.0;
const ALLOWED: f64 = (RATE * 8.0 + BURST) * 1.1 + 20_000.0;
const ALONE: Sharers = Sharers { all: 1, heard: 1 };

fn limits(is_first_start: bool) -> OrganisationLimits {
    let mut limits = OrganisationLimits::new(0, TOLERANCE, is_first_start);
    limits.configure(0, &config(1, vec![], vec![limited("org", RATE, BURST)]));
    limits
}

/// Asks for as much as there is, over `seconds`; returns what was given each time.
fn drain(
    limits: &mut OrganisationLimits,
    from_us: u64,
    seconds: u64,
    tokens: u32,
) -> Vec<(u64, f64)> {
    let mut given = Vec::new();
    for step in 0..seconds * 100 {
        let now_us = from_us + step * 10 * MS;
        while limits.take(now_us, "org", Some(tokens), 0, ALONE).is_ok() {
            given.push((now_us, f64::from(tokens)));
        }
    }
    given
}

fn most_in_window(given: &[(u64, f64)]) -> f64 {
    let window = |from: u64| {
        let inside = given
            .iter()
            .filter(|(at, _)| (from..from + 8 * SECOND).contains(at));
        inside.map(|(_, tokens)| tokens).sum::<f64>()
    };
    given.iter().map(|(at, _)| window(*at)).fold(0.0, f64::max)
}

#[test]
fn one_instance_gives_out_most_of_the_window_and_no_more() {
    let given = drain(&mut limits(true), 0, 20, 500);
    let most = most_in_window(&given);
    assert!(most <= ALLOWED, "{most} of {ALLOWED}");
    assert!(
        most >= (RATE * 8.0 + BURST),
        "{most} is below the limit itself"
    );
}

#[test]
fn an_organisation_without_a_limit_is_never_refused() {
    let mut limits = OrganisationLimits::new(0, TOLERANCE, true);
    limits.configure(0, &config(1, vec![], vec![organisation("free", &[])]));
    for _ in 0..10_000 {
        assert_eq!(limits.take(0, "free", Some(50_000), 2, ALONE), Ok(()));
        assert_eq!(limits.take(0, "unheard-of", Some(50_000), 2, ALONE), Ok(()));
    }
}

#[test]
fn a_long_request_finds_room_beside_short_ones() {
    let mut limits = limits(true);
    drain(&mut limits, 0, 3, 100);
    // The bucket is about empty; what is asked for next goes by turn, not by what fits.
    let mut long = 0;
    let mut short = 0;
    for step in 0..400 {
        let now_us = 3 * SECOND + step * 10 * MS;
        long += u32::from(limits.take(now_us, "org", Some(6_000), 0, ALONE).is_ok());
        short += u32::from(limits.take(now_us, "org", Some(100), 0, ALONE).is_ok());
    }
    assert!(long >= 5, "{long} long requests beside {short} short ones");
}

#[test]
fn the_last_of_a_limit_is_for_the_most_urgent() {
    let mut limits = limits(true);
    while limits.take(0, "org", Some(500), 2, ALONE).is_ok() {}
    assert!(limits.take(0, "org", Some(500), 1, ALONE).is_ok());
    while limits.take(0, "org", Some(500), 1, ALONE).is_ok() {}
    assert!(limits.take(0, "org", Some(500), 0, ALONE).is_ok());
}

#[test]
fn a_refusal_says_when_to_come_back_and_then_there_is_room() {
    let mut limits = limits(true);
    while limits.take(0, "org", Some(500), 0, ALONE).is_ok() {}
    let wait_ms = limits
        .take(0, "org", Some(500), 0, ALONE)
        .unwrap_err()
        .wait_ms;
    let later_us = u64::from(wait_ms) * MS;
    assert_eq!(limits.take(later_us, "org", Some(500), 0, ALONE), Ok(()));
}

#[test]
fn what_did_not_run_is_given_back() {
    let mut limits = limits(true);
    while limits.take(0, "org", Some(500), 0, ALONE).is_ok() {}
    limits.give_back("org", Some(5_000));
    assert_eq!(limits.take(0, "org", Some(500), 0, ALONE), Ok(()));
}

#[test]
fn a_lower_limit_binds_at_once_and_what_was_used_stays_used() {
    let mut limits = limits(true);
    while limits.take(0, "org", Some(500), 0, ALONE).is_ok() {}
    limits.configure(
        0,
        &config(2, vec![], vec![limited("org", RATE / 10.0, BURST / 10.0)]),
    );
    assert!(limits.take(0, "org", Some(500), 0, ALONE).is_err());
    let given = drain(&mut limits, 0, 20, 100);
    let allowed = (RATE * 0.8 + BURST / 10.0) * 1.1 + 20_000.0;
    assert!(most_in_window(&given) <= allowed);
}

#[test]
fn a_restarted_process_begins_with_little_and_takes_over_the_level_of_those_that_ran_on() {
    let mut old = limits(true);
    assert_eq!(old.take(0, "org", Some(500), 0, ALONE), Ok(()));
    old.spend("org", Some(500));
    let mut new = OrganisationLimits::new(10 * SECOND, TOLERANCE, false);
    new.configure(
        10 * SECOND,
        &config(1, vec![], vec![limited("org", RATE, BURST)]),
    );
    let two = Sharers { all: 2, heard: 2 };
    let drain = |limits: &mut OrganisationLimits| {
        let taken =
            (0..).take_while(|_| limits.take(10 * SECOND, "org", Some(500), 0, two).is_ok());
        taken.count() as f64 * 500.0
    };
    let little = drain(&mut new);
    assert!(little <= RATE * 1.4, "{little}");
    let teller = Teller {
        incarnation: Incarnation(1),
        uptime_us: 10 * SECOND,
    };
    for told in old.used() {
        new.told(10 * SECOND, teller, told, two);
    }
    let level = drain(&mut new);
    assert!(level > little, "{level}");
}

/// Instances that tell each other every `tell_ms` and are pressed far beyond the limit.
fn together(instances: u64, tell_ms: u64, heard: bool, seed: u64) -> f64 {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all: Vec<OrganisationLimits> = (0..instances).map(|_| limits(true)).collect();
    let sharers = Sharers {
        all: instances as usize,
        heard: if heard { instances as usize } else { 1 },
    };
    let mut given = Vec::new();
    for step in 0..2_000_u64 {
        let now_us = step * 10 * MS;
        for limits in &mut all {
            let asks = rng.random_range(0..3);
            for _ in 0..asks {
                let tokens = rng.random_range(50..1_500);
                if limits.take(now_us, "org", Some(tokens), 0, sharers).is_ok() {
                    limits.spend("org", Some(tokens));
                    given.push((now_us, f64::from(tokens)));
                }
            }
        }
        if heard {
            for from in 0..all.len() {
                // Each 40 ms an instance looks whether it has news; else it tells by the clock.
                let looks = (step * 10) % 40 == 0 && all[from].take_news(sharers);
                if !looks && (step * 10) % tell_ms != 0 {
                    continue;
                }
                let teller = Teller {
                    incarnation: Incarnation(from as u64 + 1),
                    uptime_us: now_us,
                };
                for told in all[from].used() {
                    for (to, limits) in all.iter_mut().enumerate() {
                        if to != from {
                            limits.told(now_us, teller, told, sharers);
                        }
                    }
                }
            }
        }
    }
    most_in_window(&given)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(12))]

    #[test]
    fn instances_that_hear_each_other_keep_the_limit_together(seed in any::<u64>(), n in 2_u64..9) {
        let most = together(n, 40, true, seed);
        prop_assert!(most <= ALLOWED, "{} of {}", most, ALLOWED);
        prop_assert!(most >= RATE * 8.0, "{} is far below the limit", most);
    }

    #[test]
    fn instances_that_hear_nobody_keep_the_limit_together(seed in any::<u64>(), n in 2_u64..9) {
        let most = together(n, 40, false, seed);
        prop_assert!(most <= ALLOWED, "{} of {}", most, ALLOWED);
    }

    #[test]
    fn words_a_second_apart_do_where_news_is_told_at_once(seed in any::<u64>(), n in 2_u64..9) {
        let most = together(n, 1_000, true, seed);
        prop_assert!(most <= ALLOWED * 1.1, "{} of {}", most, ALLOWED);
    }
}

#[test]
fn one_that_fell_silent_and_speaks_again_counts_once() {
    let mut limits = limits(true);
    let both = Sharers { all: 2, heard: 2 };
    let told = |used| ToldUse {
        organisation: short_hash("org"),
        used,
        level_percent: 50,
    };
    let other = Teller {
        incarnation: Incarnation(9),
        uptime_us: 0,
    };
    limits.told(0, other, told(60_000), both);
    limits.forget(3 * SECOND, other.incarnation);
    // The bucket has filled again by then; what the other said before is long counted.
    limits.told(20 * SECOND, other, told(61_000), both);
    assert_eq!(
        limits.take(20 * SECOND, "org", Some(15_000), 0, both),
        Ok(())
    );
    assert_eq!(
        limits.take(20 * SECOND, "org", Some(1_000), 0, both),
        Ok(())
    );
}

#[test]
fn what_was_refused_unsent_is_not_told_as_used() {
    let mut limits = limits(true);
    for _ in 0..100 {
        assert_eq!(limits.take(0, "org", Some(5_000), 0, ALONE), Ok(()));
        limits.give_back("org", Some(5_000));
    }
    assert!(limits.used().is_empty(), "{:?}", limits.used());
    assert_eq!(limits.take(0, "org", Some(5_000), 0, ALONE), Ok(()));
    limits.spend("org", Some(5_000));
    assert_eq!(limits.used()[0].used, 5_000);
}

/// A large group whose instances hear of each other's use some 300 ms late, pressed by long requests
/// at many times the limit, as by an organisation that sends far beyond its usual in a surge. Returns
/// the most used in a window, and all that was used, as shares of what is allowed.
fn large_group(instances: usize, offered: f64, seed: u64) -> (f64, f64) {
    const GROUP_RATE: f64 = 40_000.0;
    const SECONDS: u64 = 24;
    let tolerance = Tolerance {
        slack: 140_000.0,
        ..TOLERANCE
    };
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut all: Vec<OrganisationLimits> = Vec::new();
    for _ in 0..instances {
        let mut limits = OrganisationLimits::new(0, tolerance, true);
        let organisation = limited("org", GROUP_RATE, GROUP_RATE);
        limits.configure(0, &config(1, vec![], vec![organisation]));
        all.push(limits);
    }
    let sharers = Sharers {
        all: instances,
        heard: instances,
    };
    let mut given = Vec::new();
    let mut heard = Vec::new();
    for step in 0..SECONDS * 100 {
        let now_us = step * 10 * MS;
        let mut left = offered * GROUP_RATE / 100.0;
        while left > 0.0 {
            let tokens: u32 = rng.random_range(200..1_200) * rng.random_range(1..12);
            left -= f64::from(tokens);
            let one = rng.random_range(0..instances);
            if all[one]
                .take(now_us, "org", Some(tokens), 0, sharers)
                .is_ok()
            {
                all[one].spend("org", Some(tokens));
                given.push((now_us, f64::from(tokens)));
            }
        }
        if step % 20 == 0 {
            // What was said 200 ms ago arrives.
            for (from, word) in std::mem::take(&mut heard) {
                let teller = Teller {
                    incarnation: Incarnation(from as u64 + 1),
                    uptime_us: now_us,
                };
                for (to, limits) in all.iter_mut().enumerate() {
                    if to != from {
                        limits.told(now_us, teller, word, sharers);
                    }
                }
            }
            for (from, limits) in all.iter().enumerate() {
                heard.extend(limits.used().into_iter().map(|word| (from, word)));
            }
        }
    }
    let allowed = (GROUP_RATE * 8.0 + GROUP_RATE) * 1.1 + tolerance.slack;
    let all_used: f64 = given.iter().map(|(_, tokens)| tokens).sum();
    let limit = GROUP_RATE * SECONDS as f64;
    (most_in_window(&given) / allowed, all_used / limit)
}

#[test]
fn a_large_group_that_hears_late_keeps_the_limit_and_gives_it_out() {
    for seed in 0..3 {
        for offered in [3.0, 12.0] {
            let (most, share) = large_group(80, offered, seed);
            println!("offered {offered}: {most:.3} of the allowed, {share:.2} of the limit");
            assert!(most <= 1.0, "{most} at {offered}");
            assert!(share >= 1.0, "{share} at {offered}");
        }
    }
}

#[test]
fn what_was_withheld_while_words_were_lost_is_given_out_again() {
    let all_heard = Sharers { all: 10, heard: 10 };
    let few_heard = Sharers { all: 10, heard: 3 };
    let mut limits = limits(true);
    let ask = |limits: &mut OrganisationLimits, now_us, tokens, sharers| {
        limits.take(now_us, "org", Some(tokens), 0, sharers).is_ok()
    };
    assert!(ask(&mut limits, 0, 100, all_heard));
    // For a moment few are heard: only their share may be used.
    let mut given = 0;
    while ask(&mut limits, 10 * MS, 1_000, few_heard) {
        given += 1_000;
    }
    let depth = ALLOWED * 0.88 - RATE * 8.0;
    assert!(
        f64::from(given) <= depth * 0.3 + 1_000.0,
        "{given} of {depth}"
    );
    // All are heard again, and used nothing.
    let mut again = 0;
    while ask(&mut limits, 20 * MS, 1_000, all_heard) {
        again += 1_000;
    }
    assert!(
        f64::from(given + again) >= depth - 2_000.0,
        "{given} and {again} of {depth}"
    );
}

#[test]
fn what_unheard_instances_used_is_not_given_out_again() {
    let all_heard = Sharers { all: 2, heard: 2 };
    let alone = Sharers { all: 2, heard: 1 };
    let mut limits = limits(true);
    let other = Teller {
        incarnation: Incarnation(9),
        uptime_us: 0,
    };
    let told = |used| ToldUse {
        organisation: short_hash("org"),
        used,
        level_percent: 50,
    };
    limits.told(0, other, told(0), all_heard);
    assert!(limits.take(0, "org", Some(100), 0, all_heard).is_ok());
    assert!(limits.take(SECOND, "org", Some(100), 0, alone).is_ok());
    // It was cut off, and used its half.
    limits.told(2 * SECOND, other, told(15_000), alone);
    let mut given = 0;
    while limits
        .take(2 * SECOND, "org", Some(500), 0, all_heard)
        .is_ok()
    {
        given += 500;
    }
    let depth = ALLOWED * 0.88 - RATE * 8.0;
    let left = depth - 15_000.0;
    assert!(f64::from(given) <= left + 1_000.0, "{given} of {left}");
    assert!(f64::from(given) >= left - 2_000.0, "{given} of {left}");
}

#[test]
fn the_share_of_instances_that_are_not_counted_any_more_stays_withheld() {
    let mut limits = limits(true);
    let before = Sharers { all: 4, heard: 1 };
    assert!(limits.take(0, "org", Some(100), 0, before).is_ok());
    let mut given = 0;
    while limits.take(MS, "org", Some(100), 0, before).is_ok() {
        given += 100;
    }
    // Three were not heard for so long that they are not counted: nobody knows what they used.
    while limits.take(2 * MS, "org", Some(100), 0, ALONE).is_ok() {
        given += 100;
    }
    let depth = ALLOWED * 0.88 - RATE * 8.0;
    assert!(
        f64::from(given) <= depth * 0.25 + 200.0,
        "{given} of {depth}"
    );
}

#[test]
fn after_the_loss_of_all_a_part_of_what_was_withheld_is_given_out() {
    let unheard = Sharers { all: 100, heard: 1 };
    let heard = Sharers {
        all: 100,
        heard: 100,
    };
    let mut limits = limits(false);
    assert!(limits.take(0, "org", Some(10), 0, unheard).is_ok());
    let mut given = 0.0;
    // The last of it is given out by chance.
    for _ in 0..4_000 {
        if limits.take(MS, "org", Some(100), 0, heard).is_ok() {
            given += 100.0;
        }
    }
    // A fresh process finds 1.3 s of the rate.
    let found = RATE * 1.3;
    assert!((0.4..0.6).contains(&(given / found)), "{given} of {found}");
}
