//! Tests of the shares of a machine that callers may use.

use oriole_adapter::limits::Limits;

const MB: usize = 1024 * 1024;

/// Memory in megabytes and descriptors of the entries on the operators' sheets, the smallest first.
const MACHINES: [(usize, usize); 4] = [(112, 2870), (160, 4100), (260, 4100), (512, 8192)];

/// Guards against shares that together exceed the machine, or into which one legal request or answer does not fit.
#[test]
fn the_shares_fit_into_each_machine() {
    for (memory_mb, file_descriptors) in MACHINES {
        let limits = Limits { memory_mb, file_descriptors };
        let connections = limits.max_connections(24 * 1024);
        let held = limits.request_bytes() + limits.response_bytes() + connections * 24 * 1024;
        assert!(held <= memory_mb * MB * 4 / 5, "{held} of {memory_mb} MB");
        // A part of each pool is kept for small requests and answers.
        assert!(limits.request_bytes() * 4 / 5 > 4_194_304 + MB);
        assert!(limits.response_bytes() * 4 / 5 >= 16 * MB);
        // Each connection may need another one, and the process needs some for itself.
        assert!(2 * connections + 500 <= file_descriptors - 200);
    }
}

/// Guards against settings that let the process accept nothing.
#[test]
fn the_least_machine_accepts_a_connection() {
    let limits = Limits { memory_mb: 0, file_descriptors: 0 };
    assert_eq!(limits.max_connections(24 * 1024), 1);
    assert!(limits.receive_buffer_bytes(1) > 0);
}
