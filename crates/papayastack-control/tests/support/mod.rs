//! Runs `papayactl` and writes its input files.

use std::path::{Path, PathBuf};
use std::process::Command;

use serde_json::Value;

/// The exit code and the output of a `papayactl` run.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) output: String,
    pub(crate) errors: String,
}

impl Run {
    /// Parses standard output as JSON.
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.output).expect("papayactl prints JSON")
    }
}

/// Runs `papayactl` in the root of the repository.
pub(crate) fn papayactl(arguments: &[&str]) -> Run {
    let output = Command::new(env!("CARGO_BIN_EXE_papayactl"))
        .args(arguments)
        .current_dir(root())
        .output()
        .expect("papayactl runs");
    Run {
        code: output.status.code().expect("papayactl exits by itself"),
        output: String::from_utf8(output.stdout).expect("papayactl prints UTF-8"),
        errors: String::from_utf8(output.stderr).expect("papayactl prints UTF-8"),
    }
}

/// Returns the root of the repository.
pub(crate) fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .canonicalize()
        .expect("the repository has a root")
}

/// Reads an example's base and overlays as one document.
pub(crate) fn example(name: &str) -> Value {
    let directory = root().join("examples").join(name);
    let read = |path: PathBuf| -> Value {
        let text = std::fs::read_to_string(path).expect("the example can be read");
        serde_json::from_str(&text).expect("the example is JSON")
    };
    let mut overlays = serde_json::Map::new();
    for entry in directory.join("overlays").read_dir().expect("the example has overlays") {
        let path = entry.expect("the directory can be read").path();
        let site = path.file_stem().unwrap_or_default().to_string_lossy().into_owned();
        overlays.insert(site, read(path));
    }
    serde_json::json!({ "base": read(directory.join("base.json")), "overlays": overlays })
}

/// Writes a configuration as a directory of files, replacing an earlier one of that name.
pub(crate) fn write_directory(name: &str, configuration: &Value) -> PathBuf {
    let directory = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
    let _ = std::fs::remove_dir_all(&directory);
    std::fs::create_dir_all(directory.join("overlays")).expect("a directory can be made");
    std::fs::write(directory.join("base.json"), configuration["base"].to_string())
        .expect("a file can be written");
    for (site, overlay) in configuration["overlays"].as_object().into_iter().flatten() {
        let path = directory.join("overlays").join(format!("{site}.json"));
        std::fs::write(path, overlay.to_string()).expect("a file can be written");
    }
    directory
}
