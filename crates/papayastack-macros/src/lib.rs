//! Attribute macros that expand to the derive sets used across papayastack.

use proc_macro::TokenStream;

/// Derives the set for a plain value: debug output, cloning and equality.
#[proc_macro_attribute]
pub fn value(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_attributes("#[derive(Debug, Clone, PartialEq, Eq)]", item)
}

/// Derives the set for a value that crosses a process boundary: [`value`] and serde.
#[proc_macro_attribute]
pub fn message(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_attributes(
        "#[derive(Debug, Clone, PartialEq, Eq, ::serde::Serialize, ::serde::Deserialize)]",
        item,
    )
}

/// Derives the set for a field-less enum with snake-case names on the wire: [`message`],
/// copying and ordering.
#[proc_macro_attribute]
pub fn closed_set(_arguments: TokenStream, item: TokenStream) -> TokenStream {
    with_attributes(
        "#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, \
         ::serde::Serialize, ::serde::Deserialize)] #[serde(rename_all = \"snake_case\")]",
        item,
    )
}

fn with_attributes(attributes: &str, item: TokenStream) -> TokenStream {
    let mut output: TokenStream = attributes.parse().expect("the derive list is valid Rust");
    output.extend(item);
    output
}
