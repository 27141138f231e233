//! Tests of [`super`].

use super::*;
use crate::error_chain::ErrorChain;

/// A valid configuration.
pub const CONFIG: &str = r#"{"name":"n0","listen":"127.0.0.1:0","discovery":"127.0.0.1:1","seed":"7",
"limits":{"cores":1.0,"memory_mb":64,"sockets":256},"known":{"index":1,"snapshot":true,"endpoints":[]},
"settings":{"n_instances":1,"slot_no":0,"zone":0,"tick_us":4000,"zones":["a"],"skus":["m"],
"grades":[{"name":"quote","effect":"repeatable","group":"all","window_us":0,"objective_us":400000,
 "give_up_us":1000000,"worth":1.0,"late_worth":0.0,"stream":false}],
"contracts":[{"name":"starter","quota_rate":1.5,"burst":7.0,"max_out":0,"never_over_rate":0.0,"ceiling_burst":0.0,
 "ceiling_slack":0.0,"worth_factor":1.0,"over_worth":0.0,"beyond_costs":1.0}],
"limits":{"most_tries":3,"second_copies":true,"cancelling":true,"may_probe":false,"peers":false,"retry_after":true,
 "max_retry_after_us":2000000,"max_open":20000,"connect_timeout_us":250000,"keepalive_us":15000000},
"family_info":{"peer_in_per_s":40.0,"has_counter":false,"meter_period_us":0,"post_paid":false},
"rules":{"answer_slack_us":16000,"drain_grace_us":250000,"cold_from":0.28,"cold_us":16000000,
 "overload_factor":4.0,"fall_us":1000000,"must_ask_in_us":10000000},
"membership_mode":"push","weights":"none","reporting":{"how":"none","fields":[]}}}"#;

/// Returns the error text of an invalid configuration.
fn error_text(config: &str) -> String {
    ErrorChain(&Config::parse(config, |_| None).err().unwrap()).to_string()
}

/// A configuration has one mistake. The error has to name the key, which an operator needs to correct the
/// file.
#[test]
fn each_invalid_setting_has_its_error_text() {
    assert!(Config::parse(CONFIG, |_| None).is_ok());
    for (from, to, text) in [
        ("{\"name\"", "\"name\"", "invalid JSON: trailing characters at line 1 column 7"),
        ("\"seed\":\"7\"", "\"seed\":7", "seed is missing or not a string"),
        ("\"seed\":\"7\"", "\"seed\":\"seven\"", "seed is not a 64-bit hexadecimal number: seven"),
        ("\"settings\":{", "\"other\":{", "settings is missing"),
        ("\"tick_us\":4000,", "", "setting tick_us is missing"),
        ("\"tick_us\":4000", "\"tick_us\":0", "setting tick_us must not be 0"),
        ("\"zones\":[\"a\"],", "", "setting zones is missing"),
        ("\"skus\":[\"m\"],", "", "setting skus is missing"),
        ("\"known\":{", "\"other\":{", "known is missing"),
        ("\"index\":1,", "", "known: index is missing or not a whole number"),
        ("\"snapshot\":true,", "", "known: snapshot is missing or not a boolean"),
        ("\"endpoints\":[]", "\"endpoints\":0", "known: endpoints is missing or not a list"),
        ("\"ceiling_slack\":0.0,", "", "setting contracts.0.ceiling_slack is missing"),
        (
            "\"over_worth\":0.0",
            "\"over_worth\":-1",
            "setting contracts.0.over_worth is not a finite, non-negative number: -1",
        ),
        ("\"may_probe\":false,", "", "setting limits.may_probe is missing"),
        (
            "\"has_counter\":false",
            "\"has_counter\":0",
            "setting family_info.has_counter is neither true nor false: 0",
        ),
        ("\"meter_period_us\":0,", "", "setting family_info.meter_period_us is missing"),
        (
            "\"answer_slack_us\":16000",
            "\"answer_slack_us\":1.5",
            "setting rules.answer_slack_us is not an integer from 0 to 4503599627370495: 1.5",
        ),
        ("\"peers\":false", "\"peers\":true", "peers is missing or not a list"),
        ("\"listen\":\"127.0.0.1:0\"", "\"listen\":\"x\"", "listen is not an IP address with a port: x"),
        ("\"discovery\":\"127.0.0.1:1\",", "", "discovery is missing or not a string"),
        ("\"sockets\":256", "\"sockets\":0", "limits.sockets is missing or not a positive integer"),
        ("\"memory_mb\":64", "\"memory_mb\":0.5", "limits.memory_mb is missing or not a positive integer"),
        (
            "\"keepalive_us\":15000000",
            "\"keepalive_us\":-1",
            "setting limits.keepalive_us is not an integer from 0 to 4503599627370495: -1",
        ),
    ] {
        assert_eq!(error_text(&CONFIG.replacen(from, to, 1)), text);
    }
}

/// An address of the peers is missing or invalid, or there are fewer addresses than ingresses. An ingress
/// that started anyway would run without its peers, and customers could exceed their quotas.
#[test]
fn each_invalid_peer_address_has_its_error_text() {
    let config = CONFIG.replacen("\"peers\":false", "\"peers\":true", 1);
    for (peers, text) in [
        ("\"peers\":[],", "peer_listen is missing or not a string"),
        ("\"peers\":[],\"peer_listen\":\"y\",", "peer_listen is not an IP address with a port: y"),
        ("\"peers\":[\"z\"],\"peer_listen\":\"127.0.0.1:2\",", "peers is not an IP address with a port: z"),
        ("\"peers\":[0],\"peer_listen\":\"127.0.0.1:2\",", "peers is not an IP address with a port: "),
        (
            "\"peers\":[],\"peer_listen\":\"127.0.0.1:2\",\"peers_all\":\"w\",",
            "peers_all is not an IP address with a port: w",
        ),
        (
            "\"peers\":[],\"peer_listen\":\"127.0.0.1:2\",",
            "the number of addresses in peers differs from setting n_instances",
        ),
    ] {
        assert_eq!(error_text(&config.replacen('{', &format!("{{{peers}"), 1)), text);
    }
}

/// An address is set both in the environment and in the file. The environment takes precedence, and an error
/// in it has to name the variable, so that an operator does not search the file for the mistake.
#[test]
fn an_address_in_the_environment_overrides_the_one_in_the_file() {
    let variable = |name: &str| (name == "LB_LISTEN").then(|| "127.0.0.1:3".to_string());
    assert_eq!(Config::parse(CONFIG, variable).ok().unwrap().listen_address.port(), 3);
    let variable = |name: &str| (name == "LB_DISCOVERY").then(|| "there".to_string());
    let error = ErrorChain(&Config::parse(CONFIG, variable).err().unwrap()).to_string();
    assert_eq!(error, "LB_DISCOVERY is not an IP address with a port: there");
}

/// The configuration file cannot be read or is invalid. The error has to name the path, since an operator may
/// have edited another file than the one that the ingress reads.
#[test]
fn an_error_in_a_file_names_its_path() {
    let error = ErrorChain(&Config::read("/no/such/file", |_| None).err().unwrap()).to_string();
    assert_eq!(error, "LB_CONFIG: cannot read /no/such/file: No such file or directory (os error 2)");
    let file = std::env::temp_dir().join(format!("ingress-config-{}.json", std::process::id()));
    std::fs::write(&file, CONFIG.replacen("\"tick_us\":4000", "\"tick_us\":0", 1)).unwrap();
    let path = file.to_str().unwrap();
    let error = ErrorChain(&Config::read(path, |_| None).err().unwrap()).to_string();
    std::fs::remove_file(&file).unwrap();
    assert_eq!(error, format!("{path}: setting tick_us must not be 0"));
}
