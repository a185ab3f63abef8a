//! Submission keys, which contain their time of issue.

use std::fmt;

use papayastack_macros::value;

/// The maximum length of a key in bytes.
pub const SUBMISSION_KEY_MAX_BYTES: usize = 128;

/// An idempotency key chosen by the caller: `<unix milliseconds of issue>-<unique text>`.
#[value]
#[derive(PartialOrd, Ord)]
pub struct SubmissionKey {
    issued_unix_ms: u64,
    text: String,
}

impl SubmissionKey {
    /// Parses a key; the error names the fault and the expected format.
    pub fn parse(text: &str) -> Result<Self, SubmissionKeyError> {
        if text.len() > SUBMISSION_KEY_MAX_BYTES {
            return Err(SubmissionKeyError::TooLong { bytes: text.len() });
        }
        let (issued, unique) = text.split_once('-').ok_or(SubmissionKeyError::NoSeparator)?;
        if unique.is_empty() {
            return Err(SubmissionKeyError::NoUniqueText);
        }
        if let Some(character) = unique.chars().find(|character| !character.is_ascii_graphic()) {
            return Err(SubmissionKeyError::ForbiddenCharacter { character });
        }
        let canonical =
            issued.bytes().all(|byte| byte.is_ascii_digit()) && !issued.starts_with('0');
        let issued_unix_ms = issued.parse().ok().filter(|_| canonical).ok_or_else(|| {
            SubmissionKeyError::IssueTime { text: issued.chars().take(32).collect() }
        })?;
        Ok(Self { issued_unix_ms, text: text.to_owned() })
    }

    /// Returns the time of issue in unix milliseconds.
    pub fn issued_unix_ms(&self) -> u64 {
        self.issued_unix_ms
    }

    /// Returns the whole key as the caller wrote it.
    pub fn text(&self) -> &str {
        &self.text
    }
}

impl fmt::Display for SubmissionKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(&self.text)
    }
}

/// Why a submission key is invalid.
#[value]
pub enum SubmissionKeyError {
    /// The request has no key.
    Missing,
    /// The key is longer than [`SUBMISSION_KEY_MAX_BYTES`].
    TooLong {
        /// The key's length in bytes.
        bytes: usize,
    },
    /// The key has no hyphen between time of issue and unique text.
    NoSeparator,
    /// The part before the first hyphen is not a time of issue.
    IssueTime {
        /// That part, shortened.
        text: String,
    },
    /// Nothing follows the first hyphen.
    NoUniqueText,
    /// The unique text has a character that is not visible ASCII.
    ForbiddenCharacter {
        /// The first such character.
        character: char,
    },
}

impl fmt::Display for SubmissionKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Missing => write!(formatter, "the field key is missing")?,
            Self::TooLong { bytes } => write!(
                formatter,
                "key: {bytes} bytes are too many, the limit is {SUBMISSION_KEY_MAX_BYTES}"
            )?,
            Self::NoSeparator => write!(formatter, "key: no hyphen after the time of issue")?,
            Self::IssueTime { text } => {
                write!(formatter, "key: {text:?} is not a time of issue in unix milliseconds")?;
            }
            Self::NoUniqueText => write!(formatter, "key: no unique text after the hyphen")?,
            Self::ForbiddenCharacter { character } => {
                write!(formatter, "key: {character:?} is not a visible ASCII character")?;
            }
        }
        write!(
            formatter,
            "; make one as <unix milliseconds of issue>-<unique text>, for example \
             1700000000000-4f9c2a61, and keep it for every retry"
        )
    }
}

impl std::error::Error for SubmissionKeyError {}
