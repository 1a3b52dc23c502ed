//! Answers that only the close of their connection delimits, of endpoints that live on: those that are whole are served,
//! and those that stop early are not framed as whole.

use std::{ops::Range, time::Duration};

use standins::{
    answer_bytes::{AnswerFraming, Content, MIDDLE_EVENT},
    scripted_answer::ConnectionEnd,
};

use crate::{
    broken_answers::{describe, print_wrong},
    cluster::until,
    raw_site::{Got, Plan, RawSite},
};

const INSTANCES: usize = 2;
const LINKED_INSTANCES: usize = 3;
const ENDPOINTS: usize = 6;
/// They have room for all requests of one of three instances at once.
const MANY_ENDPOINTS: usize = 16;
const REQUESTS: usize = 24;
/// Answers of each endpoint at each instance before those that are checked.
const ANSWERS_BEFORE: usize = 10;
const UNFRAMED: AnswerFraming = AnswerFraming::Close;
const KINDS: [(&str, Content); 8] = [
    ("/once/x", Content::Plain),
    ("/once/x", Content::Json),
    ("/again/x", Content::Plain),
    ("/again/x", Content::Json),
    ("/fixed/stream", Content::Stream),
    ("/fixed/stream", Content::MarkedStream),
    ("/resume/stream", Content::Stream),
    ("/resume/stream", Content::MarkedStream),
];
/// The ways of ending that look like those of a whole answer.
const ENDS: [ConnectionEnd; 3] = [
    ConnectionEnd::Closed,
    ConnectionEnd::HalfClosed,
    ConnectionEnd::SlowThenClosed,
];

async fn direct(net: u8) -> RawSite {
    RawSite::start(net, INSTANCES, ENDPOINTS).await
}

async fn carried(net: u8) -> RawSite {
    RawSite::start_carried(net, LINKED_INSTANCES, ENDPOINTS).await
}

/// Sends the requests of all plans for each kind; fails if anything is wrong with an answer.
async fn check_plans(
    site: &RawSite,
    kinds: &[(&'static str, Content)],
    plans: impl Fn(Plan) -> Vec<Plan>,
    is_wrong: impl Fn(&Got) -> bool,
) {
    let mut all_wrong = 0;
    for (path, content) in kinds {
        let answers = site
            .call_all(plans(Plan::whole(path, *content, UNFRAMED)))
            .await;
        let wrong = describe(&answers, &is_wrong);
        print_wrong(&format!("{path} {content:?}"), answers.len(), &wrong);
        all_wrong += wrong.len();
    }
    assert_eq!(all_wrong, 0);
}

fn at_each(places: Range<usize>, whole: Plan) -> Vec<Plan> {
    let cuts = places.flat_map(|place| ENDS.map(|end| whole.cut(UNFRAMED, place, end)));
    cuts.collect()
}

/// Every run stops where its body would begin.
async fn check_head_ends(site: &RawSite) {
    let plans = |whole: Plan| {
        let head_end = whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes().head_end;
        at_each(head_end..head_end + 1, whole).repeat(REQUESTS / ENDS.len())
    };
    check_plans(site, &KINDS, plans, Got::is_short).await;
}

/// The first run stops where its body would begin.
async fn check_head_ends_once(site: &RawSite) {
    let kinds = KINDS.into_iter().filter(|(path, _)| may_run_again(path));
    let kinds: Vec<_> = kinds.collect();
    let plans = |whole: Plan| {
        let head_end = whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes().head_end;
        let cut = ENDS.map(|end| whole.cut(UNFRAMED, head_end, end).once());
        cut.repeat(REQUESTS / ENDS.len())
    };
    check_plans(site, &kinds, plans, |got| !got.is_whole()).await;
}

/// Every run stops at a byte of its body.
async fn check_json(site: &RawSite) {
    let kinds = [("/once/x", Content::Json), ("/again/x", Content::Json)];
    let plans = |whole: Plan| {
        let bytes = whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes();
        at_each(bytes.head_end..bytes.bytes.len(), whole)
    };
    check_plans(site, &kinds, plans, Got::is_short).await;
}

/// The first run stops after the fourth event.
async fn check_resumed(site: &RawSite) {
    let kinds = [("/resume/stream", Content::Stream)];
    let plans = |whole: Plan| {
        let place =
            whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes().part_ends[MIDDLE_EVENT as usize - 1];
        let cut = ENDS.map(|end| whole.cut(UNFRAMED, place, end).once());
        cut.repeat(REQUESTS / ENDS.len())
    };
    check_plans(site, &kinds, plans, |got| !got.is_whole()).await;
}

/// Whole answers are known, and the first run stops after half of its body.
async fn check_shorter(site: &RawSite) {
    let kinds = [
        ("/again/x", Content::Plain),
        ("/resume/stream", Content::Stream),
    ];
    for (path, content) in kinds {
        site.warm_up(Plan::whole(path, content, UNFRAMED), ANSWERS_BEFORE)
            .await;
    }
    let plans = |whole: Plan| {
        let bytes = whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes();
        let place = match whole.content {
            Content::Plain => (bytes.head_end + bytes.bytes.len()) / 2,
            _ => bytes.part_ends[MIDDLE_EVENT as usize - 1],
        };
        let cut = ENDS.map(|end| whole.cut(UNFRAMED, place, end).once());
        cut.repeat(REQUESTS / ENDS.len())
    };
    check_plans(site, &kinds, plans, |got| !got.is_whole()).await;
}

/// Nothing tells whether such an answer is whole.
async fn check_not_framed(site: &RawSite) {
    let kinds = [
        ("/once/x", Content::Plain),
        ("/fixed/stream", Content::Stream),
    ];
    let plans = |whole: Plan| {
        let bytes = whole.cut(UNFRAMED, 0, ENDS[0]).cut_bytes();
        let first = bytes.part_ends[0];
        match whole.content {
            Content::Plain => at_each(bytes.head_end + 1..first, whole),
            _ => {
                let cuts = bytes.part_ends[..bytes.part_ends.len() - 1].iter();
                cuts.flat_map(|place| at_each(*place..place + 1, whole))
                    .collect()
            }
        }
    };
    check_plans(site, &kinds, plans, Got::is_falsely_whole).await;
}

/// Whole answers of endpoints that frame their others this way.
async fn check_whole(site: &RawSite, others: impl Fn(Content) -> AnswerFraming) {
    let (mut unserved, mut repeated) = (0, 0);
    for (path, content) in KINDS {
        let other = Plan::whole(path, content, others(content));
        site.warm_up(other, ANSWERS_BEFORE).await;
        for framing in [AnswerFraming::Close, AnswerFraming::CloseOfHttp10] {
            let plan = Plan::whole(path, content, framing);
            let answers = site.call_all([plan; REQUESTS]).await;
            let wrong = describe(&answers, |got| !got.is_whole());
            let runs: usize = answers.iter().map(|got| got.runs).sum();
            print_wrong(
                &format!("{path} {content:?} {framing:?}, {runs} runs"),
                REQUESTS,
                &wrong,
            );
            unserved += wrong.len();
            if !may_run_again(path) {
                repeated += answers.iter().filter(|got| got.runs != 1).count();
            }
        }
    }
    assert_eq!((unserved, repeated), (0, 0));
}

fn may_run_again(path: &str) -> bool {
    path.starts_with("/again") || path.starts_with("/resume")
}

fn never(_: Content) -> AnswerFraming {
    UNFRAMED
}

fn otherwise(content: Content) -> AnswerFraming {
    match content {
        Content::Plain | Content::Json | Content::Nothing => AnswerFraming::LengthLast,
        Content::Stream | Content::MarkedStream => AnswerFraming::Chunked,
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_that_stops_after_its_head_is_no_success() {
    check_head_ends(&direct(47).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_that_stops_after_its_head_is_replaced_by_another_run() {
    check_head_ends_once(&direct(77).await.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_json_that_does_not_close_is_no_success() {
    check_json(&direct(48).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_stream_that_stops_goes_on_at_another_endpoint() {
    check_resumed(&direct(49).await.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_that_is_shorter_than_known_ones_is_replaced_by_another_run() {
    check_shorter(&direct(79).await.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn unframed_answer_that_stops_in_its_body_is_not_framed_as_whole() {
    check_not_framed(&direct(52).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_answers_of_endpoints_that_never_frame_are_served() {
    check_whole(&direct(53).await, never).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn whole_unframed_answers_of_endpoints_that_frame_others_are_served() {
    check_whole(&direct(54).await, otherwise).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_answer_that_stops_after_its_head_is_no_success() {
    check_head_ends(&carried(55).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_answer_that_stops_after_its_head_is_replaced_by_another_run() {
    let site = RawSite::start_carried(78, LINKED_INSTANCES, MANY_ENDPOINTS).await;
    check_head_ends_once(&site.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_json_that_does_not_close_is_no_success() {
    check_json(&carried(56).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_stream_that_stops_goes_on_at_another_endpoint() {
    let site = RawSite::start_carried(57, LINKED_INSTANCES, MANY_ENDPOINTS).await;
    check_resumed(&site.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_answer_that_is_shorter_than_known_ones_is_replaced_by_another_run() {
    check_shorter(&carried(85).await.with_ample_retries()).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_unframed_answer_that_stops_in_its_body_is_not_framed_as_whole() {
    check_not_framed(&carried(68).await).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_whole_answers_of_endpoints_that_never_frame_are_served() {
    check_whole(&carried(69).await, never).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn carried_whole_unframed_answers_of_endpoints_that_frame_others_are_served() {
    check_whole(&carried(75).await, otherwise).await;
}

/// Such answers have no framing that their endpoint could leave out, so they tell nothing about the framing of others.
#[tokio::test(flavor = "multi_thread")]
async fn whole_unframed_answers_are_served_beside_answers_without_a_body() {
    let site = direct(86).await;
    let kinds = [("/once/x", Content::Plain), ("/again/x", Content::Plain)];
    for (path, _) in kinds {
        let longer = Plan::whole(path, Content::Json, UNFRAMED);
        site.warm_up(longer, ANSWERS_BEFORE).await;
    }
    let plans = |whole| vec![whole; REQUESTS];
    check_plans(&site, &kinds[..1], plans, |got| !got.is_whole()).await;
    let without_body = Plan::whole("/often/x", Content::Nothing, UNFRAMED);
    site.warm_up(without_body, ANSWERS_BEFORE).await;
    check_plans(&site, &kinds, plans, |got| !got.is_whole()).await;
}

/// Returns a plan whose answers pause at a place until their carrier is lost.
fn paused(path: &'static str, content: Content, framing: AnswerFraming, place: usize) -> Plan {
    const PAUSE: Duration = Duration::from_millis(400);
    Plan {
        pause: Some((place, PAUSE)),
        ..Plan::whole(path, content, framing)
    }
}

/// A carrier stops while it has a part of the head, the head alone, or the first part of the body.
#[tokio::test(flavor = "multi_thread")]
async fn answer_whose_carrier_is_lost_in_it_does_not_look_whole() {
    let site = RawSite::start_carried(76, LINKED_INSTANCES, MANY_ENDPOINTS).await;
    let mut plans = Vec::new();
    for (path, content) in KINDS {
        for framing in [otherwise(content), UNFRAMED] {
            let bytes = Plan::whole(path, content, framing).cut_bytes();
            let (head_end, first_end) = (bytes.head_end, bytes.part_ends[0]);
            let places = [
                1,
                head_end / 2,
                head_end - 1,
                head_end,
                first_end - 1,
                first_end,
            ];
            plans.extend(places.map(|place| paused(path, content, framing, place)));
        }
    }
    let all = plans.len();
    let gateways: Vec<_> = site.instances.iter().map(|i| i.gateway.clone()).collect();
    let lifelines: Vec<_> = site.instances.iter().map(|i| i.lifelines()).collect();
    let losing = async {
        let open = |i: &usize| gateways[*i].carried.open();
        until("requests to be carried", || {
            (1..LINKED_INSTANCES).any(|i| open(&i) > 0)
        })
        .await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        let carrier = (1..LINKED_INSTANCES).max_by_key(open).expect("an instance");
        for task in &lifelines[carrier] {
            task.abort();
        }
        open(&carrier)
    };
    let (answers, lost) = tokio::join!(site.call(plans, all), losing);
    assert!(lost > 0, "nothing was carried by it");
    let wrong = describe(&answers, Got::is_short);
    let whole = answers.iter().filter(|got| got.is_whole()).count();
    print_wrong(
        &format!("{lost} open at the lost carrier, {whole} whole"),
        all,
        &wrong,
    );
    assert!(wrong.is_empty());
}
