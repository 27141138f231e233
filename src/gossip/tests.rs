//! Tests of [`super`].

use super::*;

#[test]
fn messages_survive_the_way() {
    let customer = CustomerId((1 << 33) - 7);
    let (first, width) = (400, 219);
    let one = UsageReport {
        customer,
        plan: 3,
        total_units: 65_000,
        in_flight: 99,
        tokens_level: 200,
        gateway_set_start: first,
        gateway_set_size: width,
        requests_grant: true,
        requested_units: 1.25,
        needs_hard_limit_grant: true,
    };
    let uses = vec![one; MAX_USAGE_REPORTS];
    let news = vec![
        QuotaGrant {
            customer,
            receiver_total: 9,
            tokens: -7.25,
            remote_rate: 12.5,
            remote_in_flight: 127,
            hard_limit_grant: 2.25
        };
        MAX_QUOTA_GRANTS
    ];
    for body in [Body::UsageReports(uses), Body::QuotaGrants(9, news), Body::UsageReports(vec![])] {
        for count in 0..=MAX_SAMPLES {
            let one = LatencySample { backend_tag: backend_tag(77), class: 6, relative_latency: Some(0.5) };
            let bad = LatencySample { relative_latency: None, ..one };
            let samples = [one, bad, one].into_iter().cycle().take(count).collect();
            let message = Message { incarnation: 77, sequence: 3, samples, body: body.clone() };
            let bytes = message.encode();
            assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            assert_eq!(Message::decode(&bytes), Some(message));
            for cut in 0..bytes.len() {
                assert_eq!(Message::decode(&bytes[..cut]), None, "cut at {cut}");
            }
        }
    }
    assert_eq!(wrapping_delta(wrap_total(16_383.0), wrap_total(16_385.0)), 2.0);
}
