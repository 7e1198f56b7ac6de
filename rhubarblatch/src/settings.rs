//! Where the entries are and what token they ask for.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};

use serde::Deserialize;
use store::token::Token;

use crate::error::Error;

/// The environment variable that names the settings file.
pub(crate) const FILE_VARIABLE: &str = "RHUBARBLATCH_TOOL_SETTINGS";
/// The environment variable that holds the token.
pub(crate) const TOKEN_VARIABLE: &str = "RHUBARBLATCH_OPERATOR_TOKEN";

/// The settings file.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub(crate) struct Settings {
    /// Addresses of entries' listeners for operators.
    pub(crate) entries: Vec<SocketAddr>,
    /// The file whose first line is the token.
    pub(crate) token_file: Option<PathBuf>,
    /// Longest time for one call, in milliseconds.
    pub(crate) timeout_ms: u64,
}

impl Default for Settings {
    fn default() -> Settings {
        Settings { entries: Vec::new(), token_file: None, timeout_ms: 10_000 }
    }
}

impl Settings {
    /// Reads the file at `path`, or the one that the environment names. Without either, the
    /// defaults hold. Addresses in `entries` go before those of the file.
    pub(crate) fn read(path: Option<&Path>, entries: &[SocketAddr]) -> Result<Settings, Error> {
        let named = std::env::var_os(FILE_VARIABLE).map(PathBuf::from);
        let path = path.map(Path::to_owned).or(named);
        let mut settings = path.as_deref().map_or(Ok(Settings::default()), parse)?;
        if !entries.is_empty() {
            settings.entries = entries.to_vec();
        }
        match settings.entries.is_empty() {
            true => Err(Error::NoEntry),
            false => Ok(settings),
        }
    }

    /// The token, from the environment or else from the token file.
    pub(crate) fn token(&self) -> Result<Token, Error> {
        if let Ok(text) = std::env::var(TOKEN_VARIABLE) {
            return Ok(Token::new(text.trim()));
        }
        let path = self.token_file.as_ref().ok_or(Error::NoToken)?;
        let text = fs::read_to_string(path);
        let text = text.map_err(|source| Error::File { path: path.clone(), source })?;
        Ok(Token::new(text.lines().next().unwrap_or_default().trim()))
    }
}

fn parse(path: &Path) -> Result<Settings, Error> {
    let text = fs::read_to_string(path);
    let text = text.map_err(|source| Error::File { path: path.to_owned(), source })?;
    serde_json::from_str(&text).map_err(|source| Error::Settings { path: path.to_owned(), source })
}
