mod calls;
mod faults;
mod lives;
mod states;
mod support;
