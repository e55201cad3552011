//! The simulator's `path=value` lines as the object that they were written from. Every value stays a word.

use crate::fault::BadSetting;
use crate::plain::Plain;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Settings are three parts deep at most; what is far deeper is none of them.
const DEPTH: usize = 8;

/// The lists of objects that are read.
const LISTS: [&str; 2] = ["lanes", "orgs"];

/// The object that the lines describe.
pub(crate) fn object(text: &str) -> Result<Value, BadSetting> {
    let mut object = Map::new();
    for (path, value) in text.lines().filter_map(|line| line.split_once('=')) {
        if path.split('.').count() <= DEPTH {
            insert(&mut object, path, value);
        }
    }
    for list in LISTS {
        if let Some(items) = object.remove(list).map(|items| counted(list, items)).transpose()?.flatten() {
            object.insert(list.to_owned(), items);
        }
    }
    Ok(Value::Object(object))
}

fn insert(object: &mut Map<String, Value>, path: &str, value: &str) {
    match path.split_once('.') {
        None => {
            object.insert(path.to_owned(), value.into());
        }
        Some((key, rest)) => {
            let under = object.entry(key).or_insert_with(|| Map::new().into());
            if let Value::Object(under) = under {
                insert(under, rest, value);
            }
        }
    }
}

/// A list of objects, which states its length under `count`; one that states none is no list.
fn counted(list: &str, items: Value) -> Result<Option<Value>, BadSetting> {
    let Value::Object(mut items) = items else { return Ok(None) };
    let Some(count) = items.remove("count") else { return Ok(None) };
    let Plain(count) =
        Plain::<u16>::deserialize(count).map_err(|why| BadSetting::new(format!("{list}.count"), why))?;
    let mut item = |i: u16| items.remove(&i.to_string()).unwrap_or_else(|| Map::new().into());
    Ok(Some((0..count).map(&mut item).collect()))
}
