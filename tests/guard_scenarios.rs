//! Scripts of a guard under load, run under virtual time.

#[path = "guard_scenarios/bench.rs"]
mod bench;
#[path = "guard_scenarios/script.rs"]
mod script;

#[test]
fn guard_scripts_end_as_written() {
    datadriven::walk("tests/scenarios/guard", |file| {
        let mut script = script::Script::default();
        file.run(|case| script.run(&case.directive, &case.args));
    });
}
