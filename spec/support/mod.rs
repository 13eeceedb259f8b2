//! Shared by the specifications: interning of states, exhaustive search and readable traces.
#![allow(dead_code)]

use std::cell::RefCell;
use std::collections::HashMap;
use std::fmt::Debug;
use std::hash::Hash;
use std::rc::Rc;

use pathfinding::directed::bfs::bfs;

/// Assigns numbers to values, so that a model's state stays small while it refers to real states.
pub struct Interner<T> {
    inner: RefCell<Numbered<T>>,
}

/// Values by number, and numbers by value.
type Numbered<T> = (Vec<Rc<T>>, HashMap<Rc<T>, u32>);

impl<T: Eq + Hash> Default for Interner<T> {
    fn default() -> Self {
        Interner {
            inner: RefCell::new((Vec::new(), HashMap::new())),
        }
    }
}

impl<T: Eq + Hash> Interner<T> {
    /// Returns the number of a value, a new one for a new value.
    pub fn put(&self, value: T) -> u32 {
        let mut inner = self.inner.borrow_mut();
        if let Some(number) = inner.1.get(&value) {
            return *number;
        }
        let number = inner.0.len() as u32;
        let value = Rc::new(value);
        inner.0.push(value.clone());
        inner.1.insert(value, number);
        number
    }

    /// Returns the value of a number.
    pub fn get(&self, number: u32) -> Rc<T> {
        self.inner.borrow().0[number as usize].clone()
    }
}

/// A model: its first state, the steps from each state, and the property that must hold.
pub trait Model {
    /// One state of the model.
    type World: Clone + Eq + Hash + Debug;
    /// Returns the state in which the search begins.
    fn start(&self) -> Self::World;
    /// Returns the states one step later, each with a description of the step.
    fn next(&self, world: &Self::World) -> Vec<(String, Self::World)>;
    /// Returns whether the state breaks the safety property.
    fn violated(&self, world: &Self::World) -> bool;
}

/// Result of an exhaustive search.
pub struct Outcome {
    /// Number of states visited.
    pub state_count: usize,
    /// Descriptions of the steps of the shortest path to a violation.
    pub trace: Option<Vec<String>>,
}

/// Visits every state, breadth first, until one violates the property.
pub fn explore<M: Model>(model: &M) -> Outcome {
    let mut state_count = 0;
    let successors = |world: &M::World| {
        state_count += 1;
        let next = model.next(world);
        next.into_iter().map(|(_, world)| world).collect::<Vec<_>>()
    };
    let path = bfs(&model.start(), successors, |world| model.violated(world));
    let trace = path.map(|path| describe(model, &path));
    Outcome { state_count, trace }
}

/// Returns the descriptions of the steps along a path.
fn describe<M: Model>(model: &M, path: &[M::World]) -> Vec<String> {
    let step = |pair: &[M::World]| {
        let next = model.next(&pair[0]);
        let found = next.into_iter().find(|(_, world)| *world == pair[1]);
        found.expect("the path follows the model").0
    };
    path.windows(2).map(step).collect()
}

/// Panics with the trace if the model has a violation; prints the number of states.
pub fn expect_safe<M: Model>(name: &str, model: &M) {
    let outcome = explore(model);
    println!("{name}: {} states", outcome.state_count);
    if let Some(trace) = outcome.trace {
        panic!("{name} is violated:\n  {}", trace.join("\n  "));
    }
}

/// Panics if the model has no violation; prints the shortest trace to it.
pub fn expect_violation<M: Model>(name: &str, model: &M) {
    let outcome = explore(model);
    println!("{name}: violated after {} states", outcome.state_count);
    let trace = outcome.trace;
    let trace = trace.unwrap_or_else(|| panic!("{name} was not caught"));
    println!("  {}", trace.join("\n  "));
}
