//! Attribute macros that add the project's common sets of derives.
//!
//! - [`macro@data`]: plain data that is compared and serialized.
//! - [`macro@key`]: small `Copy` identifiers that are also ordered and hashed.
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

/// Puts a derive attribute before `item`. The text is constant, so a parse failure cannot occur
/// for well-formed lists; it would surface as a compile error at the use site.
fn derive(list: &str, item: TokenStream) -> TokenStream {
    match format!("#[derive({list})]").parse::<TokenStream>() {
        Ok(mut tokens) => {
            tokens.extend(item);
            tokens
        }
        Err(e) => format!("compile_error!(\"{e}\");").parse().unwrap_or_default(),
    }
}
