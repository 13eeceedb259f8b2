mod calls;
mod faults;
mod lives;
mod odd;
mod states;
mod support;
