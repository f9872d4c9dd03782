//! Replacements of built-in functions whose running time or memory is not limited by the size of their arguments.
//!
//! A test calls every function that is registered with an engine, so that another one of this kind is found.

use rhai::{Array, Dynamic, Engine, EvalAltResult, FnPtr, ImmutableString, Map, NativeCallContext};

use super::script::{MAX_ITEMS, MAX_TEXT_BYTES};

type Outcome = Result<(), Box<EvalAltResult>>;

/// The error that a script gets when it calls `sleep`.
const SLEEP_ERROR: &str = "a hook cannot sleep";
/// The error that a script gets when it pads with an empty string.
const EMPTY_PADDING_ERROR: &str = "the padding is empty";
/// The error that a script gets when a string would exceed its maximum length.
const TEXT_ERROR: &str = "the string would be too long";
/// The error that a script gets when an array would exceed its maximum size.
const ARRAY_ERROR: &str = "the array would be too large";

/// Maximum length in bytes of the name of a function that compares items. Sorting ignores errors of the comparisons, and the
/// error of each contains the name.
const MAX_FUNCTION_NAME_BYTES: usize = 64;
/// The error that a script gets for a longer name.
const FUNCTION_NAME_ERROR: &str = "the name of the function is too long";

/// Registers the replacements with an engine.
pub fn replace(engine: &mut Engine) {
    engine.register_fn("sleep", |_: i64| -> Outcome { Err(SLEEP_ERROR.into()) });
    engine.register_fn("sleep", |_: f64| -> Outcome { Err(SLEEP_ERROR.into()) });
    engine.register_fn("pad", pad_text);
    engine.register_fn("pad", pad_array);
    engine.register_fn("sort", |context: NativeCallContext, array: &mut Array, name: &str| {
        call_with_function(&context, "sort", array, name)
    });
    engine.register_fn("dedup", |context: NativeCallContext, array: &mut Array, name: &str| {
        call_with_function(&context, "dedup", array, name)
    });
    engine.register_fn("replace", |text: &mut ImmutableString, find: &str, with: &str| {
        replace_all(text, find, with)
    });
    engine.register_fn("replace", |text: &mut ImmutableString, find: char, with: &str| {
        replace_all(text, find.encode_utf8(&mut [0; 4]), with)
    });
    engine.register_fn("replace", |text: &mut ImmutableString, find: &str, with: char| {
        replace_all(text, find, with.encode_utf8(&mut [0; 4]))
    });
}

/// Appends `padding` until the string has at least `length` characters, and cuts it to that length.
fn pad_text(text: &mut ImmutableString, length: i64, padding: &str) -> Outcome {
    let present = text.chars().count();
    let wanted = usize::try_from(length).unwrap_or(0);
    if wanted <= present {
        return Ok(());
    }
    if padding.is_empty() {
        return Err(EMPTY_PADDING_ERROR.into());
    }
    if wanted > MAX_TEXT_BYTES {
        return Err(TEXT_ERROR.into());
    }
    let added: String = padding.chars().cycle().take(wanted - present).collect();
    check_length(text.len() + added.len())?;
    *text = format!("{text}{added}").into();
    Ok(())
}

/// Appends copies of `item` until the array has at least `length` items.
fn pad_array(array: &mut Array, length: i64, item: Dynamic) -> Outcome {
    let wanted = usize::try_from(length).unwrap_or(0);
    let copies = wanted.saturating_sub(array.len());
    let size = copies.saturating_mul(size_of_value(&item));
    if wanted > MAX_ITEMS || size > MAX_TEXT_BYTES {
        return Err(ARRAY_ERROR.into());
    }
    array.resize(wanted.max(array.len()), item);
    Ok(())
}

/// Calls the variant of a built-in function of arrays that has a function pointer in place of a name.
fn call_with_function(context: &NativeCallContext, built_in: &str, array: &mut Array, name: &str) -> Outcome {
    if name.len() > MAX_FUNCTION_NAME_BYTES {
        return Err(FUNCTION_NAME_ERROR.into());
    }
    let mut function = Dynamic::from(FnPtr::new(name)?);
    let mut receiver = Dynamic::from_array(std::mem::take(array));
    let called = context.call_native_fn_raw(built_in, true, &mut [&mut receiver, &mut function]);
    *array = receiver.into_array().unwrap_or_default();
    called.map(drop)
}

/// Returns the number of items in a value and the values within it, or the length of a string in bytes.
fn size_of_value(value: &Dynamic) -> usize {
    if let Ok(array) = value.as_array_ref() {
        return 1 + array.iter().map(size_of_value).sum::<usize>();
    }
    if let Some(map) = value.read_lock::<Map>() {
        return 1 + map.values().map(size_of_value).sum::<usize>();
    }
    value.as_immutable_string_ref().map_or(1, |text| 1 + text.len())
}

/// Replaces all occurrences, if the result is not too long.
fn replace_all(text: &mut ImmutableString, find: &str, with: &str) -> Outcome {
    let occurrences = text.matches(find).count();
    check_length(text.len() - occurrences * find.len() + occurrences * with.len())?;
    *text = text.replace(find, with).into();
    Ok(())
}

fn check_length(length: usize) -> Outcome {
    if length > MAX_TEXT_BYTES {
        return Err(TEXT_ERROR.into());
    }
    Ok(())
}
