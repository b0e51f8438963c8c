//! The router instances of this process, and the event batches sent to them.

use std::collections::{BTreeMap, BTreeSet};

use serde_json::{Value as Json, json};

use crate::instance::RouterInstance;
use crate::wire::{NANOS, field, number};

/// All router instances by number.
#[derive(Default)]
pub struct Host {
    /// `None` for an instance that was halted.
    instances: BTreeMap<u64, Option<RouterInstance>>,
    /// Server lists by page number; page numbers are reused.
    pages: BTreeMap<u64, Vec<Json>>,
}

impl Host {
    /// Handles one batch of events and returns the orders in reply.
    ///
    /// # Errors
    ///
    /// Returns a message that names the event and the key that is missing or invalid.
    pub fn batch(&mut self, line: &str) -> Result<Json, String> {
        let batch: Json = serde_json::from_str(line).map_err(|error| format!("not JSON: {error}"))?;
        let now = number(&batch, "time")? / NANOS;
        let input = field(&batch, "input")?.as_array().ok_or("'input' is not an array")?;
        let mut orders = Vec::new();
        let mut touched = BTreeSet::new();
        for (place, message) in input.iter().enumerate() {
            let (name, event) = message
                .as_object()
                .and_then(|object| object.iter().next())
                .ok_or_else(|| format!("event {place}: not an object with one key"))?;
            let taken = self.event(now, name, event, &mut orders, &mut touched);
            taken.map_err(|message| format!("event {place}, {name}: {message}"))?;
        }
        for i in touched {
            if let Some(Some(instance)) = self.instances.get_mut(&i) {
                instance.run_due(now, &mut orders);
            }
        }
        Ok(json!({ "orders": orders }))
    }

    fn event(
        &mut self,
        now: u64,
        name: &str,
        event: &Json,
        orders: &mut Vec<Json>,
        touched: &mut BTreeSet<u64>,
    ) -> Result<(), String> {
        if name == "page" {
            let elements = field(event, "elements")?.as_array().ok_or("'elements' is not an array")?;
            self.pages.insert(number(event, "page")?, elements.clone());
            return Ok(());
        }
        let i = number(event, "i")?;
        if name == "begin" {
            self.instances.insert(i, Some(RouterInstance::new(i, event)?));
            touched.insert(i);
            return Ok(());
        }
        let instance = self.instances.get_mut(&i).ok_or_else(|| format!("instance {i} was never begun"))?;
        let Some(running) = instance else { return Ok(()) };
        touched.insert(i);
        match name {
            "halt" => *instance = None,
            "members" => {
                let page = event["page"].as_u64().and_then(|page| self.pages.get(&page));
                running.on_server_list(now, event, page)?;
            }
            "arrival" => running.on_arrival(now, event, orders)?,
            "dropped" => running.on_client_gone(now, event)?,
            "pong" => running.on_probe_result(now, event)?,
            "resolved" => running.on_dispatch_ended(now, event, orders)?,
            // Timers are checked after each batch. Stream starts, messages of peers (none are sent here) and unknown
            // events need no action.
            _ => {}
        }
        Ok(())
    }
}
