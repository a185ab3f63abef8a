//! Tests of the commands that only read files.

mod support;

use std::fmt::Write;

use serde_json::{Value, json};

use support::{example, papayactl, root, write_directory};

/// Returns invalid variants of an example: for each, its name and the merge patch that makes the
/// example invalid.
fn broken() -> Vec<(&'static str, Value)> {
    let upstream = |change: Value| {
        json!({"base": {"services": {"deadline-board": {"upstreams": {
            "deadline-board-00": change
        }}}}})
    };
    vec![
        ("unknown field", json!({"base": {"routing": {"hedge_budget": 5}}})),
        ("misspelt section", json!({"base": {"clases": {}}})),
        ("misspelt class", json!({"base": {"classes": {"sweeep": {"hedge": true}}}})),
        (
            "text for a number",
            json!({"base": {"services": {"office-sync": {"slots_per_upstream": "two"}}}}),
        ),
        ("number for a flag", json!({"base": {"classes": {"lookup": {"hedge": 1}}}})),
        ("array for a section", json!({"base": {"limits": [1]}})),
        ("unknown policy", json!({"base": {"routing": {"policy": "ownr"}}})),
        ("negative number", json!({"base": {"routing": {"queue_max": -4}}})),
        ("zero slots", json!({"base": {"services": {"office-sync": {"slots_per_upstream": 0}}}})),
        ("absurd unit", json!({"base": {"membership": {"probe_interval_ms": 90_000_000}}})),
        (
            "more than a whole",
            json!({"base": {"classes": {"sweep": {"hedge_quantile_permille": 1000}}}}),
        ),
        ("unknown data centre", upstream(json!({"data_centre": "centro-d"}))),
        ("bad address", upstream(json!({"address": "10.20.1.50"}))),
        ("address without a port", upstream(json!({"address": "10.20.1.50:0"}))),
        ("address twice", upstream(json!({"address": "10.20.2.51:8080"}))),
        (
            "upstream id twice",
            json!({"base": {"services": {"office-sync": {"upstreams": {
                "deadline-board-00": {"data_centre": "centro-a", "address": "10.20.9.9:80"}
            }}}}}),
        ),
        (
            "default above maximum",
            json!({"base": {"classes": {"lookup": {"deadline_max_ms": 100}}}}),
        ),
        (
            "probe longer than its interval",
            json!({"base": {"membership": {"probe_timeout_ms": 300}}}),
        ),
        (
            "service without upstreams",
            json!({"base": {"services": {"new": {
                "slots_per_upstream": 1, "connections_per_upstream": 1, "upstreams": {}
            }}}}),
        ),
        (
            "missing field",
            json!({"base": {"services": {"new": {
                "slots_per_upstream": 1, "upstreams": {"new-1": {"address": "10.20.9.9:80"}}
            }}}}),
        ),
        ("empty overlay", json!({"overlays": {"centro-d": {}}})),
        (
            "overlay that repeats the base",
            json!({"overlays": {"centro-a": {"routing": {"retry_budget_permille": 100}}}}),
        ),
        (
            "two faults in two files",
            json!({
                "base": {"limits": {"terms_max": 0}},
                "overlays": {"centro-b": {"adresses": {}}},
            }),
        ),
        (
            "overlay that names an unknown upstream",
            json!({"overlays": {"centro-a": {"services": {"deadline-board": {"upstreams": {
                "deadline-board-99": {"data_centre": "centro-b"}
            }}}}}}),
        ),
        (
            "overlay that names an unknown service",
            json!({"overlays": {"centro-a": {"services": {
                "deadline-bord": {"slots_per_upstream": 4}
            }}}}),
        ),
    ]
}

/// Returns all invalid variants; a merge patch cannot write `null`, so removals are made here.
fn broken_configurations() -> Vec<(&'static str, Value)> {
    let mut configurations = Vec::new();
    for (name, change) in broken() {
        let mut configuration = example("plazo-claro");
        json_patch::merge(&mut configuration, &change);
        configurations.push((name, configuration));
    }
    let removals = [
        ("overlay removes what is required", "data_centres"),
        ("overlay removes what the base lacks", "memberships"),
    ];
    for (name, member) in removals {
        let mut configuration = example("plazo-claro");
        configuration["overlays"]["centro-c"][member] = Value::Null;
        configurations.push((name, configuration));
    }
    let mut configuration = example("plazo-claro");
    configuration["overlays"]["centro-c"] = json!("routing");
    configurations.push(("overlay that is no object", configuration));
    configurations
}

#[test]
fn check_reports_file_path_problem_and_hint() {
    let mut report = String::new();
    for (name, configuration) in broken_configurations() {
        let directory = write_directory(&name.replace(' ', "-"), &configuration);

        let run = papayactl(&["check", "--json", directory.to_str().unwrap()]);

        assert_eq!(run.code, 3, "{name}: {}{}", run.output, run.errors);
        writeln!(report, "# {name}").unwrap();
        for fault in run.json()["faults"].as_array().unwrap() {
            let file = fault["file"].as_str().unwrap();
            let file = file.strip_prefix(directory.to_str().unwrap()).unwrap();
            writeln!(report, "{file} {}: {}; {}", fault["path"], fault["problem"], fault["hint"])
                .unwrap();
        }
    }
    insta::assert_snapshot!(report);
}

#[test]
fn the_examples_are_valid_and_every_overlay_changes_its_site() {
    for (name, sites) in [
        ("plazo-claro", ["centro-a", "centro-b", "centro-c"]),
        ("armor", ["rennes", "brest", "vannes"]),
    ] {
        let path = format!("examples/{name}");
        let base = papayactl(&["render", "--site", "without-overlay", &path]).output;

        assert_eq!(papayactl(&["check", &path]).code, 0);
        for site in sites {
            let rendered = papayactl(&["render", "--site", site, &path]);
            assert_eq!((rendered.code, rendered.errors.as_str()), (0, ""));
            assert_ne!(rendered.output, base);
        }
    }
}

#[test]
fn the_examples_have_the_sizes_of_the_current_systems() {
    let sizes = |name: &str| -> Vec<(String, usize, u64, u64, u64)> {
        let services = example(name)["base"]["services"].as_object().unwrap().clone();
        let size = |(service, settings): (String, Value)| {
            let number = |field: &str| settings[field].as_u64().unwrap();
            let upstreams = settings["upstreams"].as_object().unwrap().len();
            let (slots, connections) =
                (number("slots_per_upstream"), number("connections_per_upstream"));
            (service, upstreams, slots, connections, number("new_connection_ms"))
        };
        services.into_iter().map(size).collect()
    };

    let plazo_claro = [
        ("deadline-board", 30, 5, 40, 6),
        ("grant-archive", 40, 2, 110, 1),
        ("office-sync", 20, 2, 110, 1),
        ("reminder-mailer", 45, 5, 40, 6),
    ];
    let armor = [
        ("batch-ledger", 5, 4, 40, 1),
        ("dossier-viewer", 11, 4, 40, 1),
        ("examiner-portal", 45, 3, 30, 6),
        ("label-vetting", 30, 3, 30, 6),
    ];
    let named = |sizes: [(&str, usize, u64, u64, u64); 4]| {
        sizes.map(|(name, upstreams, slots, connections, cost)| {
            (name.to_owned(), upstreams, slots, connections, cost)
        })
    };
    assert_eq!(sizes("plazo-claro"), named(plazo_claro));
    assert_eq!(sizes("armor"), named(armor));
}

#[test]
fn the_settings_reference_is_current() {
    let page = std::fs::read_to_string(root().join("docs/SETTINGS.md")).unwrap_or_default();

    let printed = papayactl(&["settings"]).output;

    assert_eq!(page, printed, "write the output of `papayactl settings` to docs/SETTINGS.md");
}

#[test]
fn misspelt_arguments_get_suggestions() {
    let misspelt = |arguments: &[&str]| {
        let run = papayactl(arguments);
        assert_eq!(run.code, 2, "{arguments:?}");
        run.errors
    };

    assert!(misspelt(&["chekc"]).contains("did you mean `check`?"));
    assert!(misspelt(&["check", "--bse", "x"]).contains("did you mean `--base`?"));
    assert!(misspelt(&["check", "--ovrlay=a=b"]).contains("`--ovrlay`; did you mean `--overlay`?"));
    assert!(misspelt(&["check", "x", "--wait"]).contains("check takes no --wait"));
    assert!(misspelt(&["render", "x"]).contains("--site NAME"));
    assert!(misspelt(&["apply", "x", "--platform", "127.0.0.1"]).contains("--platform"));
    assert!(misspelt(&[]).contains("a command is missing"));
}

#[test]
fn unreadable_files_are_reported_by_name() {
    let directory = write_directory("unreadable", &example("armor"));
    std::fs::write(directory.join("overlays/brest.json"), "{\"limits\": {}, \"limits\": {}}")
        .unwrap();
    std::fs::write(directory.join("overlays/vannes.json"), "{").unwrap();

    let broken = papayactl(&["check", directory.to_str().unwrap()]);
    let missing = papayactl(&["check", "--base", "nowhere.json"]);

    assert_eq!((broken.code, missing.code), (3, 3));
    assert!(broken.errors.contains("brest.json: invalid JSON: duplicate key `limits`"));
    assert!(broken.errors.contains("vannes.json: invalid JSON: EOF"));
    assert!(missing.errors.contains("nowhere.json: No such file"));
}

#[test]
fn diff_shows_what_differs_between_sites_and_files() {
    let mut changed = example("armor");
    changed["base"]["routing"]["queue_max"] = json!(9);
    let changed = write_directory("changed", &changed);
    let changed = changed.to_str().unwrap();

    let sites = papayactl(&["diff", "examples/armor", "--site", "rennes", "--site", "vannes"]);
    let files = papayactl(&["diff", "--json", "examples/armor", changed]);
    let same = papayactl(&["diff", changed, changed, "--site", "brest"]);

    assert_eq!(
        sites.output,
        "change /addresses/lifetime_ms: 2000 (was 5000)\n\
         change /limits/terms_max: 32 (was 64)\n"
    );
    let expected = json!([{"op": "add", "path": "/base/routing/queue_max", "value": 9}]);
    assert_eq!(files.json(), expected);
    assert_eq!(same.output, "No difference.\n");
}

#[test]
fn separate_files_and_one_file_give_the_same_configuration() {
    let directory = write_directory("named", &example("armor"));
    let file = directory.join("bundle.json");
    std::fs::write(&file, example("armor").to_string()).unwrap();
    let base = directory.join("base.json");
    let overlay = format!("rennes={}", directory.join("overlays/rennes.json").display());

    let by_names = papayactl(&[
        "render",
        "--site",
        "rennes",
        "--base",
        base.to_str().unwrap(),
        "--overlay",
        &overlay,
    ]);
    let by_file = papayactl(&["render", "--site", "rennes", file.to_str().unwrap()]);

    assert_eq!((by_names.code, by_file.code), (0, 0));
    assert_eq!(by_names.output, by_file.output);
}

#[test]
fn help_and_version_are_printed() {
    let help = papayactl(&["--help"]);
    let version = papayactl(&["--version"]);

    assert!(help.output.contains("Exit codes:"));
    assert_eq!(version.output, format!("papayactl {}\n", env!("CARGO_PKG_VERSION")));
}
