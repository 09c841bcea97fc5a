//! Attribute macros for the sets of derives that many types of the workspace share.
//!
//! - [`macro@data`]: plain data that can be compared and serialized.
//! - [`macro@key`]: small `Copy` identifiers that can also be ordered and hashed.
//! - [`macro@failure`]: error types, with `Display` and `Error` from `derive_more`.

use proc_macro::TokenStream;

/// Derives `Clone`, `Debug`, `PartialEq`, `Serialize` and `Deserialize`.
#[proc_macro_attribute]
pub fn data(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, ::serde::Serialize, ::serde::Deserialize", item)
}

/// Derives the set of [`macro@data`] plus `Copy`, `Eq`, `Ord` and `Hash`.
#[proc_macro_attribute]
pub fn key(_args: TokenStream, item: TokenStream) -> TokenStream {
    let list = "Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, \
                ::serde::Serialize, ::serde::Deserialize";
    derive(list, item)
}

/// Derives `Clone`, `Debug`, `PartialEq`, and `Display` and `Error` from `derive_more`.
#[proc_macro_attribute]
pub fn failure(_args: TokenStream, item: TokenStream) -> TokenStream {
    derive("Clone, Debug, PartialEq, ::derive_more::Display, ::derive_more::Error", item)
}

/// Prepends `#[derive(list)]` to `item`. A malformed list becomes a compile error at the use site;
/// all lists are constants of this file.
fn derive(list: &str, item: TokenStream) -> TokenStream {
    match format!("#[derive({list})]").parse::<TokenStream>() {
        Ok(mut tokens) => {
            tokens.extend(item);
            tokens
        }
        Err(e) => format!("compile_error!(\"{e}\");").parse().unwrap_or_default(),
    }
}
