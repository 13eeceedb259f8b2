mod calls;
mod faults;
mod states;
mod support;
