//! Lines of values in the text of a document.

use cyc_items::Raw;

/// Line, from 1, of the value at a path such as `routes[0].split[1].weight`, or of the nearest value
/// around it that the text has.
pub fn line_of(text: &str, path: &str) -> usize {
    let mut value = Raw::new(text.as_bytes());
    for step in path.split('.') {
        let (name, indices) = step.split_once('[').unwrap_or((step, ""));
        let Some(inner) = value.get(name) else {
            break;
        };
        value = inner;
        let indices = indices.split(['[', ']']).filter(|index| !index.is_empty());
        for index in indices {
            let index: Option<usize> = index.parse().ok();
            let elements = value.elements().unwrap_or_default();
            match index.and_then(|index| elements.get(index)) {
                Some(element) => value = *element,
                None => break,
            }
        }
    }
    // `value` is a part of `text`.
    let offset = value.bytes().as_ptr().addr() - text.as_ptr().addr();
    1 + text.bytes().take(offset).filter(|b| *b == b'\n').count()
}
