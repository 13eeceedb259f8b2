mod calls;
mod faults;
mod odd;
mod states;
mod support;
