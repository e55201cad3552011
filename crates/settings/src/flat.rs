//! Assembles the simulator's flat `path=value` lines into the object that they were written from.
//! All values remain strings.

use crate::fault::BadSetting;
use crate::scalar::Scalar;
use serde::Deserialize;
use serde_json::{Map, Value};

/// Maximum number of parts in a path. Settings have at most three; a much deeper path is none of
/// them and is ignored.
const MAX_PATH_PARTS: usize = 8;

/// Keys whose value is a list of objects.
const LISTS: [&str; 2] = ["lanes", "orgs"];

/// The object that the lines describe.
pub(crate) fn object(text: &str) -> Result<Value, BadSetting> {
    let mut object = Map::new();
    for (path, value) in text.lines().filter_map(|line| line.split_once('=')) {
        if path.split('.').count() <= MAX_PATH_PARTS {
            insert(&mut object, path, value);
        }
    }
    for list in LISTS {
        if let Some(items) = object.remove(list).map(|items| read_list(list, items)).transpose()?.flatten()
        {
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
            let nested = object.entry(key).or_insert_with(|| Map::new().into());
            if let Value::Object(nested) = nested {
                insert(nested, rest, value);
            }
        }
    }
}

/// Converts a list of objects, whose length stands under `count`; without a `count` it is not a
/// list.
fn read_list(list: &str, items: Value) -> Result<Option<Value>, BadSetting> {
    let Value::Object(mut items) = items else { return Ok(None) };
    let Some(count) = items.remove("count") else { return Ok(None) };
    let Scalar(count) = Scalar::<u16>::deserialize(count)
        .map_err(|error| BadSetting::new(format!("{list}.count"), error))?;
    let mut item = |i: u16| items.remove(&i.to_string()).unwrap_or_else(|| Map::new().into());
    Ok(Some((0..count).map(&mut item).collect()))
}
