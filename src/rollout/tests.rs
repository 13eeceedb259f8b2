//! Tests of roll-outs by whole fleets under virtual time: good and bad versions, and each failure.

mod bounds;
mod delivery;
mod failures;
mod traffic;
mod versions;
mod world;
