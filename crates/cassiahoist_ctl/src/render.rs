//! Plain-text rendering of JSON pages.

use serde_json::Value;

/// Renders a JSON page as lines of `name: value`, and an object of numbers as one line. Other text is returned with a final newline.
pub(crate) fn render_page(text: &str) -> String {
    match serde_json::from_str::<Value>(text) {
        Ok(value) => {
            let mut lines = String::new();
            render_value(&value, "", &mut lines);
            lines
        }
        Err(_) => format!("{text}\n"),
    }
}

fn render_value(value: &Value, name: &str, lines: &mut String) {
    match value {
        Value::Object(fields) if !name.is_empty() && fields.values().all(Value::is_number) => {
            let texts: Vec<String> = fields.iter().map(|(field, value)| format!("{field}={value}")).collect();
            push_line(name, &texts.join(" "), lines);
        }
        Value::Object(fields) => {
            for (field, value) in fields {
                let name = if name.is_empty() { field.clone() } else { format!("{name}.{field}") };
                render_value(value, &name, lines);
            }
        }
        Value::Array(values) if values.iter().any(|value| value.is_object() || value.is_array()) => {
            for (position, value) in values.iter().enumerate() {
                render_value(value, &format!("{name}[{position}]"), lines);
            }
        }
        Value::Array(values) => {
            let texts: Vec<String> = values.iter().map(scalar_text).collect();
            push_line(name, &texts.join(", "), lines);
        }
        other => push_line(name, &scalar_text(other), lines),
    }
}

fn scalar_text(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".into(),
        other => other.to_string(),
    }
}

fn push_line(name: &str, value: &str, lines: &mut String) {
    for part in [name, ": ", value, "\n"] {
        lines.push_str(part);
    }
}
