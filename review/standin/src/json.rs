//! A small reader and writer of JSON.

use std::fmt::Write as _;

#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    /// A number as it was written.
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        let value = parse(bytes, &mut at)?;
        skip(bytes, &mut at);
        (at == bytes.len()).then_some(value)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Object(fields) => {
                fields.iter().find(|(it, _)| it == name).map_or(&Json::Null, |(_, it)| it)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self { Some(text) } else { None }
    }

    pub fn number(&self) -> Option<u64> {
        if let Json::Number(text) = self { text.parse().ok() } else { None }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(items) = self { items } else { &[] }
    }

    pub fn write(&self) -> String {
        let mut out = String::new();
        self.write_to(&mut out);
        out
    }

    fn write_to(&self, out: &mut String) {
        match self {
            Json::Null => out.push_str("null"),
            Json::Bool(it) => out.push_str(if *it { "true" } else { "false" }),
            Json::Number(it) => out.push_str(it),
            Json::Text(it) => quote(it, out),
            Json::List(items) => {
                out.push('[');
                for (index, item) in items.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    item.write_to(out);
                }
                out.push(']');
            }
            Json::Object(fields) => {
                out.push('{');
                for (index, (name, value)) in fields.iter().enumerate() {
                    if index > 0 {
                        out.push(',');
                    }
                    quote(name, out);
                    out.push(':');
                    value.write_to(out);
                }
                out.push('}');
            }
        }
    }
}

fn quote(text: &str, out: &mut String) {
    out.push('"');
    for c in text.chars() {
        match c {
            '"' => out.push_str("\\\""),
            '\\' => out.push_str("\\\\"),
            c if (c as u32) < 0x20 => drop(write!(out, "\\u{:04x}", c as u32)),
            c => out.push(c),
        }
    }
    out.push('"');
}

fn skip(bytes: &[u8], at: &mut usize) {
    while bytes.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn expect(bytes: &[u8], at: &mut usize, wanted: u8) -> Option<()> {
    skip(bytes, at);
    (bytes.get(*at) == Some(&wanted)).then(|| *at += 1)
}

fn parse(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip(bytes, at);
    match *bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            skip(bytes, at);
            if bytes.get(*at) == Some(&b'}') {
                *at += 1;
                return Some(Json::Object(fields));
            }
            loop {
                skip(bytes, at);
                let name = parse_text(bytes, at)?;
                expect(bytes, at, b':')?;
                fields.push((name, parse(bytes, at)?));
                skip(bytes, at);
                *at += 1;
                match bytes.get(*at - 1)? {
                    b',' => {}
                    b'}' => return Some(Json::Object(fields)),
                    _ => return None,
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut items = Vec::new();
            skip(bytes, at);
            if bytes.get(*at) == Some(&b']') {
                *at += 1;
                return Some(Json::List(items));
            }
            loop {
                items.push(parse(bytes, at)?);
                skip(bytes, at);
                *at += 1;
                match bytes.get(*at - 1)? {
                    b',' => {}
                    b']' => return Some(Json::List(items)),
                    _ => return None,
                }
            }
        }
        b'"' => parse_text(bytes, at).map(Json::Text),
        b't' => literal(bytes, at, "true", Json::Bool(true)),
        b'f' => literal(bytes, at, "false", Json::Bool(false)),
        b'n' => literal(bytes, at, "null", Json::Null),
        _ => {
            let start = *at;
            while bytes.get(*at).is_some_and(|it| b"+-.eE0123456789".contains(it)) {
                *at += 1;
            }
            let text = std::str::from_utf8(&bytes[start..*at]).ok()?;
            (!text.is_empty()).then(|| Json::Number(text.to_owned()))
        }
    }
}

fn literal(bytes: &[u8], at: &mut usize, word: &str, value: Json) -> Option<Json> {
    bytes[*at..].starts_with(word.as_bytes()).then(|| {
        *at += word.len();
        value
    })
}

fn parse_text(bytes: &[u8], at: &mut usize) -> Option<String> {
    expect(bytes, at, b'"')?;
    let mut out = Vec::new();
    loop {
        let byte = *bytes.get(*at)?;
        *at += 1;
        match byte {
            b'"' => return String::from_utf8(out).ok(),
            b'\\' => {
                let escaped = *bytes.get(*at)?;
                *at += 1;
                match escaped {
                    b'n' => out.push(b'\n'),
                    b't' => out.push(b'\t'),
                    b'r' => out.push(b'\r'),
                    b'b' => out.push(8),
                    b'f' => out.push(12),
                    b'u' => {
                        let hex = std::str::from_utf8(bytes.get(*at..*at + 4)?).ok()?;
                        *at += 4;
                        let c = char::from_u32(u32::from_str_radix(hex, 16).ok()?);
                        let mut buffer = [0; 4];
                        let c = c.unwrap_or('\u{fffd}');
                        out.extend(c.encode_utf8(&mut buffer).as_bytes());
                    }
                    other => out.push(other),
                }
            }
            other => out.push(other),
        }
    }
}
