//! Reads the parts of a JSON object without a library.

/// Returns the fields of the object in `text`, each with its raw value.
pub fn fields(text: &str) -> Vec<(String, String)> {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return found;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return found;
        }
        let end = skip_value(bytes, at);
        let name = text[at + 1..end - 1].to_owned();
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b':') {
            return found;
        }
        at = skip_space(bytes, at + 1);
        let end = skip_value(bytes, at);
        found.push((name, text[at..end].to_owned()));
        at = skip_space(bytes, end);
        if bytes.get(at) != Some(&b',') {
            return found;
        }
        at += 1;
    }
}

/// Returns the raw value of a field.
pub fn field(text: &str, name: &str) -> Option<String> {
    fields(text).into_iter().find(|(it, _)| it == name).map(|(_, value)| value)
}

/// Returns the value of a field that is a text without escapes.
pub fn text_field(text: &str, name: &str) -> Option<String> {
    field(text, name).map(|it| it.trim_matches('"').to_owned())
}

fn skip_space(bytes: &[u8], mut at: usize) -> usize {
    while bytes.get(at).is_some_and(u8::is_ascii_whitespace) {
        at += 1;
    }
    at
}

/// Returns the end of the value that begins at `at`.
fn skip_value(bytes: &[u8], mut at: usize) -> usize {
    let mut depth = 0;
    while at < bytes.len() {
        match bytes[at] {
            b'"' => {
                at += 1;
                while at < bytes.len() && bytes[at] != b'"' {
                    at += if bytes[at] == b'\\' { 2 } else { 1 };
                }
                at += 1;
                if depth == 0 {
                    return at.min(bytes.len());
                }
            }
            b'{' | b'[' => {
                depth += 1;
                at += 1;
            }
            b'}' | b']' if depth == 0 => return at,
            b'}' | b']' => {
                depth -= 1;
                at += 1;
                if depth == 0 {
                    return at;
                }
            }
            b',' if depth == 0 => return at,
            _ => at += 1,
        }
    }
    at
}
