//! Tests of [`super`].

use super::*;
use crate::gossip::backend_tag;
use crate::CustomerId;

/// A message has to survive encoding and decoding, within the limit of 256 bytes. A truncated datagram has to
/// be rejected, since part of a usage report would charge a customer a wrong amount.
#[test]
fn decoding_restores_a_message_and_rejects_a_truncated_one() {
    let customer = CustomerId((1 << 33) - 7);
    let report = UsageReport {
        customer,
        plan: 3,
        total_units: 65_000,
        in_flight: 99,
        tokens_level: TokenLevel::from_byte(200),
        gateway_set_start: 400,
        gateway_set_size: 219,
        requests_grant: true,
        requested_units: 1.25,
        needs_hard_limit_grant: true,
    };
    let reports = vec![report; MAX_USAGE_REPORTS];
    let grants = vec![
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
    for body in [
        Body::UsageReports(reports),
        Body::QuotaGrants { receiver_incarnation: 9, grants },
        Body::UsageReports(vec![]),
    ] {
        for count in 0..=MAX_SAMPLES {
            let success =
                LatencySample { backend_tag: backend_tag(77), class: 6, objective_ratio: Some(0.5) };
            let failure = LatencySample { objective_ratio: None, ..success };
            let samples = [success, failure, success].into_iter().cycle().take(count).collect();
            let message = Message { incarnation: 77, sequence: 3, samples, body: body.clone() };
            let bytes = message.encode();
            assert!(bytes.len() <= MAX_MESSAGE_BYTES);
            assert_eq!(Message::decode(&bytes), Some(message));
            for cut in 0..bytes.len() {
                assert_eq!(Message::decode(&bytes[..cut]), None, "cut at {cut}");
            }
        }
    }
}

/// Gateways of two versions exchange messages during a rolling upgrade. With a different layout of usage
/// reports, they would decode wrong customers and amounts until the upgrade is complete.
#[test]
fn layout_of_usage_reports_is_fixed() {
    let report = UsageReport {
        customer: CustomerId(0x1_2345_6789),
        plan: 5,
        total_units: 0xABCD,
        in_flight: 99,
        tokens_level: TokenLevel::from_byte(200),
        gateway_set_start: 0x0102,
        gateway_set_size: 0x0304,
        requests_grant: true,
        requested_units: 1.3,
        needs_hard_limit_grant: true,
    };
    let plain =
        UsageReport { requests_grant: false, needs_hard_limit_grant: false, in_flight: 200, ..report };
    let success = LatencySample { backend_tag: 0x00AB_CDEF, class: 6, objective_ratio: Some(0.5) };
    let failure = LatencySample { objective_ratio: None, class: 9, ..success };
    let message = Message {
        incarnation: 0x1122_3344,
        sequence: 0x5566,
        samples: vec![success, failure],
        body: Body::UsageReports(vec![report, plain]),
    };
    #[rustfmt::skip]
    let expected = [
        0xa2, 0x08, // version, kind and samples
        0x44, 0x33, 0x22, 0x11, // incarnation
        0x66, 0x55, // sequence
        0x02, // entries
        0xef, 0xcd, 0xab, 0xd4, // success
        0xef, 0xcd, 0xab, 0xff, // failure
        0x89, 0x67, 0x45, 0x23, 0xc7, // customer, attempts in flight
        0xcd, 0xab, // total
        0xc8, 0x17, 0x06, // level, plan and requests, units
        0x02, 0x01, 0x04, 0x03, // gateway set
        0x89, 0x67, 0x45, 0x23, 0xff, // customer, attempts in flight
        0xcd, 0xab, // total
        0xc8, 0x14, 0x06, // level, plan, units
        0x02, 0x01, 0x04, 0x03, // gateway set
    ];
    assert_eq!(message.encode(), expected);
}

/// Gateways of two versions exchange messages during a rolling upgrade. With a different layout of quota
/// grants, a customer could exceed its quota or be locked out until the upgrade is complete.
#[test]
fn layout_of_quota_grants_is_fixed() {
    let grant = QuotaGrant {
        customer: CustomerId(0x1_2345_6789),
        receiver_total: 0xABCD,
        tokens: -7.3,
        remote_rate: 300.1,
        remote_in_flight: 12,
        hard_limit_grant: 2.3,
    };
    let full = QuotaGrant { tokens: 1e6, remote_rate: 1e6, hard_limit_grant: 100.0, ..grant };
    let message = Message {
        incarnation: 1,
        sequence: 65_535,
        samples: vec![],
        body: Body::QuotaGrants { receiver_incarnation: 0x99AA_BBCC, grants: vec![grant, full] },
    };
    #[rustfmt::skip]
    let expected = [
        0xa2, 0x01, // version, kind and samples
        0x01, 0x00, 0x00, 0x00, // incarnation
        0xff, 0xff, // sequence
        0x02, // entries
        0xcc, 0xbb, 0xaa, 0x99, // receiver's incarnation
        0x89, 0x67, 0x45, 0x23, 0x19, // customer, attempts in flight
        0xcd, 0xab, // receiver's total
        0xe2, 0xff, 0xb0, 0x04, 0x09, // tokens, rate, hard limit units
        0x89, 0x67, 0x45, 0x23, 0x19, // customer, attempts in flight
        0xcd, 0xab, // receiver's total
        0xff, 0x7f, 0xff, 0xff, 0xff, // tokens, rate and hard limit units at their maximum
    ];
    assert_eq!(message.encode(), expected);
}

/// A latency is encoded in five bits, as one of 31 steps or as a failure. Without clamping, a latency out of
/// range would wrap, and the slowest backend would appear as the fastest or as a failing one.
#[test]
fn latencies_are_clamped_to_the_encoded_steps() {
    let byte = |objective_ratio| {
        let mut writer = ByteWriter::default();
        LatencySample { backend_tag: 0, class: 0, objective_ratio }.encode(&mut writer);
        writer.finish()[3]
    };
    let latencies = [0.0, 0.01, 0.03125, 0.04, 0.1, 0.3, 0.9, 1.0, 1.1, 2.0, 3.0, 100.0];
    assert_eq!(latencies.map(|latency| byte(Some(latency))), [0, 0, 0, 2, 8, 16, 24, 25, 26, 30, 30, 30]);
    assert_eq!(byte(None), 31);
}
