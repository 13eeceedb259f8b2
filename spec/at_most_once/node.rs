//! States of the model as nodes of the search graph.

use std::hash::{Hash, Hasher};

use super::mutation::Mutation;
use super::step::{Scenario, Step};
use super::world::World;

/// A state of the model, compared by its digest: equal digests mean equal successors.
#[derive(Debug, Clone)]
pub struct SearchNode {
    scenario: Scenario,
    mutation: Mutation,
    /// Steps from the first state to this one.
    pub steps: Vec<Step>,
    /// Description of the violation in this state, if there is one.
    pub violation: Option<String>,
    /// Text by which states are compared.
    digest: String,
    /// Steps that are possible in this state.
    next: Vec<Step>,
}

impl PartialEq for SearchNode {
    fn eq(&self, other: &SearchNode) -> bool {
        self.digest == other.digest
    }
}

impl Eq for SearchNode {}

impl Hash for SearchNode {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl SearchNode {
    /// Returns the first state.
    pub fn start(scenario: Scenario, mutation: Mutation) -> SearchNode {
        SearchNode::at(scenario, mutation, Vec::new())
    }

    /// Returns the state after these steps, replayed from the first state.
    fn at(scenario: Scenario, mutation: Mutation, steps: Vec<Step>) -> SearchNode {
        let world = World::replay(scenario, mutation, &steps);
        SearchNode {
            scenario,
            mutation,
            steps,
            violation: world.violation(),
            digest: world.digest(),
            next: world.steps(),
        }
    }

    /// Returns every state that is one step later.
    pub fn successors(&self) -> Vec<SearchNode> {
        let mut nodes = Vec::new();
        for step in &self.next {
            let mut steps = self.steps.clone();
            steps.push(step.clone());
            nodes.push(SearchNode::at(self.scenario, self.mutation, steps));
        }
        nodes
    }
}
