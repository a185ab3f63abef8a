//! Deserialization of the query classes, in which every class and every field is optional.

use std::collections::BTreeMap;

use serde::{Deserialize, Deserializer};

use super::schema::{ClassSettings, QueryClass};

/// Deserializes the classes; omitted fields get the default of their class.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<BTreeMap<QueryClass, ClassSettings>, D::Error> {
    let named = NamedClasses::deserialize(deserializer)?;
    let classes =
        QueryClass::BY_PRIORITY.map(|class| (class, named.get(class).or_defaults_of(class)));
    Ok(BTreeMap::from(classes))
}

/// Returns the defaults of all classes.
pub(crate) fn defaults() -> BTreeMap<QueryClass, ClassSettings> {
    BTreeMap::from(QueryClass::BY_PRIORITY.map(|class| (class, ClassSettings::default_of(class))))
}

#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
#[derive(Default)]
struct NamedClasses {
    sweep: PartialClass,
    lookup: PartialClass,
    archive: PartialClass,
}

impl NamedClasses {
    fn get(&self, class: QueryClass) -> &PartialClass {
        match class {
            QueryClass::Sweep => &self.sweep,
            QueryClass::Lookup => &self.lookup,
            QueryClass::Archive => &self.archive,
        }
    }
}

#[derive(Deserialize, Default)]
#[serde(default, deny_unknown_fields)]
struct PartialClass {
    deadline_default_ms: Option<u64>,
    deadline_max_ms: Option<u64>,
    hedge: Option<bool>,
    hedge_quantile_permille: Option<u32>,
    in_flight_max: Option<u32>,
}

impl PartialClass {
    fn or_defaults_of(&self, class: QueryClass) -> ClassSettings {
        let defaults = ClassSettings::default_of(class);
        ClassSettings {
            deadline_default_ms: self.deadline_default_ms.unwrap_or(defaults.deadline_default_ms),
            deadline_max_ms: self.deadline_max_ms.unwrap_or(defaults.deadline_max_ms),
            hedge: self.hedge.unwrap_or(defaults.hedge),
            hedge_quantile_permille: self
                .hedge_quantile_permille
                .unwrap_or(defaults.hedge_quantile_permille),
            in_flight_max: self.in_flight_max.unwrap_or(defaults.in_flight_max),
        }
    }
}
