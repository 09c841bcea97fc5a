//! An entry on the operators' platform: one process that accepts callers' requests and forwards
//! them to endpoints.
//!
//! - [`settings`]: the settings file.
//! - [`process`]: start and graceful stop of the process.
//! - [`state`]: the state that all tasks share.
//! - [`follow`]: reads the routing table, the endpoints, the plan and the other entries from the
//!   store, and registers this entry.
//! - [`peers`]: exchanges state and work in progress with the other entries.
//! - [`planner`]: proposes plans, which say which layers each endpoint holds.
//! - [`orders`]: orders endpoints to load the layers that the plan assigns to them.
//! - [`listen`]: accepts connections of callers and serves readiness and metrics.
//! - [`serve`]: handles one request, by [`generation`] (on a chain) or [`call`] (a plain service).
//! - [`dispatch`]: sends each attempt of a request, with a pass of the retry budget.
//! - [`reader`]: reads requests.
//! - [`response`]: keeps responses until their callers have read them.
//! - [`reply`]: writes responses to callers.
//! - [`quarantine`]: keeps the quarantines of prompt parts in the store.
//! - [`run`]: at which endpoint each request runs, and whether that crashes.
//! - [`hold`]: holds requests back that crash endpoints, and keeps them in the store.
//! - [`secret`]: the secret by which entries authenticate to each other, kept in the store.
//! - [`stored`]: when a key that entries write was last written.
//! - [`ask`]: requests reports and health checks of endpoints and sends them orders.
//! - [`probe`]: asks silent endpoints again until they answer.
//! - [`suspect`]: checks whether endpoints that are silent, refuse requests or cannot be reached
//!   still work.
//! - [`state::limit`]: permits to send requests to endpoints that limit their rate.
//! - [`metrics`]: counters and histograms.
//! - [`log_output`]: writes log lines without blocking the process.
//!
//! All tasks run on one thread. The decisions are in `oriole_core`, the platform's names, formats
//! and calls in `oriole_platform`.

pub mod ask;
pub mod call;
pub mod cmd;
pub mod dispatch;
pub mod follow;
pub mod generation;
pub mod hold;
pub mod listen;
pub mod log_output;
pub mod metrics;
pub mod orders;
pub mod pace;
pub mod peers;
pub mod planner;
pub mod probe;
pub mod process;
pub mod quarantine;
pub mod reader;
pub mod reply;
pub mod response;
pub mod run;
pub mod secret;
pub mod serve;
pub mod settings;
pub mod state;
pub mod stored;
pub mod suspect;
