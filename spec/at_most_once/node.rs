//! States of the model as nodes of the search.

use std::hash::{Hash, Hasher};

use super::mutation::Mutation;
use super::step::{Scenario, Step};
use super::world::World;

/// A state of the model. Equal digests mean equal futures.
#[derive(Debug, Clone)]
pub struct Node {
    scenario: Scenario,
    mutation: Mutation,
    /// How it was reached.
    pub steps: Vec<Step>,
    /// What is wrong in this state.
    pub violation: Option<String>,
    digest: String,
    next: Vec<Step>,
}

impl PartialEq for Node {
    fn eq(&self, other: &Node) -> bool {
        self.digest == other.digest
    }
}

impl Eq for Node {}

impl Hash for Node {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.digest.hash(hasher);
    }
}

impl Node {
    /// The first state.
    pub fn start(scenario: Scenario, mutation: Mutation) -> Node {
        Node::at(scenario, mutation, Vec::new())
    }

    fn at(scenario: Scenario, mutation: Mutation, steps: Vec<Step>) -> Node {
        let world = World::replay(scenario, mutation, &steps);
        Node {
            scenario,
            mutation,
            steps,
            violation: world.violation(),
            digest: world.digest(),
            next: world.steps(),
        }
    }

    /// Every state one step on.
    pub fn successors(&self) -> Vec<Node> {
        let mut nodes = Vec::new();
        for step in &self.next {
            let mut steps = self.steps.clone();
            steps.push(step.clone());
            nodes.push(Node::at(self.scenario, self.mutation, steps));
        }
        nodes
    }
}
