//! Bound on the work that has been let in and has not started.
//!
//! The bound is counted in tokens. A workspace may hold as many as are still free (a dynamic
//! threshold): one alone fills half of the bound, and there is always room for another one.

use std::collections::BTreeMap;

use oriole_macros::failure;

use crate::name;

/// There is no room for the work.
#[failure]
#[derive(Copy)]
#[display("the queue holds {held} of {bound} tokens")]
pub struct Full {
    /// Tokens held of all workspaces.
    pub held: u64,
    /// The bound.
    pub bound: u64,
}

/// Tokens that wait, by workspace.
pub struct Backlog {
    bound: u64,
    held: u64,
    workspaces: BTreeMap<name::Workspace, u64>,
}

impl Backlog {
    /// An empty backlog of at most `bound` tokens.
    pub fn new(bound: u64) -> Self {
        Self { bound, held: 0, workspaces: BTreeMap::new() }
    }

    /// Lets work in.
    pub fn add(&mut self, workspace: &name::Workspace, tokens: u32) -> Result<(), Full> {
        let tokens = u64::from(tokens);
        let own = self.workspaces.get(workspace).copied().unwrap_or(0);
        if own + tokens > self.bound.saturating_sub(self.held + tokens) {
            return Err(Full { held: self.held, bound: self.bound });
        }
        self.held += tokens;
        self.workspaces.insert(workspace.clone(), own + tokens);
        Ok(())
    }

    /// Gives back the tokens of work that has started or will not.
    pub fn remove(&mut self, workspace: &name::Workspace, tokens: u32) {
        let Some(own) = self.workspaces.get_mut(workspace) else { return };
        let tokens = u64::from(tokens).min(*own);
        *own -= tokens;
        self.held -= tokens;
        if *own == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Tokens held of all workspaces.
    pub fn held(&self) -> u64 {
        self.held
    }
}
