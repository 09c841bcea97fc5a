//! Plays the scripts of the review: starts entries as processes, with stand-ins of all around them.
//!
//! Exits with 0 if the rule held, with 1 if it was broken, and with 2 if the case could not run.

mod balancer;
mod client;
mod config;
mod engine;
mod entry;
mod http;
mod json;
mod record;
mod settings;
mod stop;
mod store;

fn main() {
    let mut args = std::env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = args.next().unwrap_or_else(|| ".".into());
    let has_trouble = std::env::var("TROUBLE").map_or(true, |trouble| trouble != "0");
    let result = match case.as_str() {
        "settings" => settings::run(&folder, has_trouble),
        "stop" => stop::run(&folder, has_trouble),
        _ => Err(format!("no case '{case}'")),
    };
    let code = match result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            println!("could not run: {error}");
            2
        }
    };
    std::process::exit(code);
}
