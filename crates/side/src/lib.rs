//! Placeholder of the workspace layout.
