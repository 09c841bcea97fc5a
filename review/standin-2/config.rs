//! The operator's configuration of a small deployment.

/// Name of the model service.
pub const MODEL: &str = "model-svc";

/// Name of the plain service.
pub const PLAIN: &str = "plain-svc";

/// Returns a configuration with a route of each kind.
pub fn config(version: u64) -> String {
    format!(
        r#"{{"version":{version},"routes":[
{{"name":"r-s","hostname":"site.example","prefix":"/stream/","kind":"streaming","timeout_ms":20000,"target_latency_ms":500,"priority":1,"service":"{MODEL}","max_attempts":2,"public":false,"sticky":true,"resumable":true,"gap_aim_ms":250}},
{{"name":"r-o","hostname":"site.example","prefix":"/once/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"{PLAIN}","max_attempts":1,"public":false}},
{{"name":"r-i","hostname":"site.example","prefix":"/again/","kind":"idempotent","timeout_ms":3000,"target_latency_ms":300,"priority":2,"service":"{PLAIN}","max_attempts":2,"public":false}}],
"services":[{{"name":"{MODEL}","health_path":"/health","max_connections":1048,"protocol":"h1","tls":false,"engine":{{"slots":192,"kv_capacity_tokens":100000,"kv_token_bytes":590000,"link_mbps":400000.0,"stride":4,"models":[{{"name":"m0","pace":1.0,"load_s":0.2,"warm_s":0.1}}],"step_ms":2.5,"per_seq_ms":0.00459,"context_per_k":0.00615,"read_per_s":164000.0,"pairs_per_m":0.199,"chunk":512,"report_lag_ms":200.0,"loads_per_s":0.0,"loads_at_once":6,"delays":[],"usual":{{"prompt":775,"answer":220}},"layers":80,"layer_mb":1750.0,"activation_bytes":29500,"pipe_mbps":16000.0,"kinds":[{{"name":"big","size_mb":200000.0,"pace":2.4,"read_x":3.2}}]}}}},
{{"name":"{PLAIN}","health_path":"/health","max_connections":220,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}},
"tenants":[{{"name":"tenant-1","api_keys":["key-1"],"priority":1}}]}}"#
    )
}
