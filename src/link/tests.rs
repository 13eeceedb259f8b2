mod calls;
mod faults;
mod incarnations;
mod invalid;
mod states;
mod support;
