//! Limits the work that has been admitted and has not started.
//!
//! The limit is counted in tokens. A workspace may hold at most as many tokens as are still free
//! afterwards (a dynamic threshold). A single workspace therefore fills at most half of the
//! capacity and leaves room for others.

use std::collections::BTreeMap;

use oriole_macros::failure;

use crate::name;

/// The work exceeds the free capacity or the workspace's part of it.
#[failure]
#[derive(Copy)]
#[display("the queue holds {held} of {capacity} tokens")]
pub struct Full {
    /// Tokens that all workspaces hold.
    pub held: u64,
    /// Capacity in tokens.
    pub capacity: u64,
}

/// Tokens of the work that has not started, by workspace.
pub struct Backlog {
    capacity: u64,
    held: u64,
    workspaces: BTreeMap<name::Workspace, u64>,
}

impl Backlog {
    /// Creates an empty backlog of at most `capacity` tokens.
    pub fn new(capacity: u64) -> Self {
        Self { capacity, held: 0, workspaces: BTreeMap::new() }
    }

    /// Adds the tokens of admitted work, or returns an error if they do not fit.
    pub fn add(&mut self, workspace: &name::Workspace, tokens: u32) -> Result<(), Full> {
        let tokens = u64::from(tokens);
        let own = self.workspaces.get(workspace).copied().unwrap_or(0);
        if own + tokens > self.capacity.saturating_sub(self.held + tokens) {
            return Err(Full { held: self.held, capacity: self.capacity });
        }
        self.held += tokens;
        self.workspaces.insert(workspace.clone(), own + tokens);
        Ok(())
    }

    /// Removes the tokens of work that has started or has been dropped.
    pub fn remove(&mut self, workspace: &name::Workspace, tokens: u32) {
        let Some(own) = self.workspaces.get_mut(workspace) else { return };
        let tokens = u64::from(tokens).min(*own);
        *own -= tokens;
        self.held -= tokens;
        if *own == 0 {
            self.workspaces.remove(workspace);
        }
    }

    /// Returns the tokens that all workspaces hold.
    pub fn held(&self) -> u64 {
        self.held
    }
}
