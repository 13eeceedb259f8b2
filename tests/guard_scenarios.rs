//! Scripted scenarios of a guard with one server under load, run under virtual time.

#[path = "guard_scenarios/script.rs"]
mod script;
#[path = "guard_scenarios/simulation.rs"]
mod simulation;

#[test]
fn guard_scripts_match_expected_output() {
    datadriven::walk("tests/scenarios/guard", |file| {
        let mut script = script::Script::default();
        file.run(|case| script.run(&case.directive, &case.args));
    });
}
