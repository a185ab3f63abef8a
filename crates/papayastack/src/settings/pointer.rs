//! JSON pointers (RFC 6901).

use serde_json::Value;

/// Returns the pointer to the member `key` of the value at `parent`.
pub(crate) fn child(parent: &str, key: &str) -> String {
    format!("{parent}/{}", key.replace('~', "~0").replace('/', "~1"))
}

/// Builds the pointer to the value that the keys lead to.
pub(crate) fn from_keys(keys: &[&str]) -> String {
    keys.iter().fold(String::new(), |parent, key| child(&parent, key))
}

/// Splits a pointer into its unescaped keys.
pub(crate) fn keys(pointer: &str) -> impl Iterator<Item = String> + '_ {
    pointer.split('/').skip(1).map(|key| key.replace("~1", "/").replace("~0", "~"))
}

/// Splits a pointer into its parent's pointer and its own unescaped key.
pub(crate) fn split_last(pointer: &str) -> Option<(&str, String)> {
    let (parent, key) = pointer.rsplit_once('/')?;
    Some((parent, key.replace("~1", "/").replace("~0", "~")))
}

/// Inserts `value` at `pointer` if the parent is an object.
pub(crate) fn insert(document: &mut Value, pointer: &str, value: Value) {
    let Some((parent, key)) = split_last(pointer) else {
        *document = value;
        return;
    };
    if let Some(Value::Object(members)) = document.pointer_mut(parent) {
        members.insert(key, value);
    }
}

/// Removes the value at `pointer` if the parent is an object.
pub(crate) fn remove(document: &mut Value, pointer: &str) {
    let Some((parent, key)) = split_last(pointer) else { return };
    if let Some(Value::Object(members)) = document.pointer_mut(parent) {
        members.remove(&key);
    }
}
